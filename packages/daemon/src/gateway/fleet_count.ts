/**
 * Which VMs count as part of the fleet, whose limits all VMs share.
 *
 * A VM that others do not hear of may run all the same, on the other side of a network
 * partition, and use its part of each limit. Silence is therefore no evidence of its end
 * for hours, and only the time in which this VM could hear it counts as silence.
 *
 * @module
 */

/** Longer than regions lose each other. */
const SILENT_RETENTION_MS = 2 * 3_600_000;
/** After evidence of its end: time for heartbeats and zone reports of a VM that has started again. */
const ENDED_RETENTION_MS = 20_000;
/** Longest time between two calls of {@link ListeningClock.advance} that counts in full: several intervals of the periodic work. */
const MAX_GAP_MS = 1_000;

/** A clock that stands still while the process does not run, as it hears of nobody then. */
export class ListeningClock {
  #pausedMs = 0;
  #advancedAt: number | undefined;

  /** Call it regularly. `now` is in milliseconds of the monotonic clock. */
  advance(now: number): void {
    const gapMs = now - (this.#advancedAt ?? now);
    this.#pausedMs += Math.max(0, gapMs - MAX_GAP_MS);
    this.#advancedAt = now;
  }

  /** This clock's time at `now`. */
  at(now: number): number {
    return now - this.#pausedMs;
  }
}

/** What is known of another VM. */
export interface VmEvidence {
  /** Time of the {@link ListeningClock} since it was last heard of, or first listed. */
  readonly silentMs: number;
  /** Whether it was ever heard of, and not only listed in the platform's store, where VMs stay that ended long ago. */
  readonly wasHeard: boolean;
  /** It said that it leaves. */
  readonly isLeaving: boolean;
  /** Whether VMs of its zone are heard of, which would report it. */
  readonly isZoneHeard: boolean;
}

/** Whether a VM may be running. */
export function mayBeRunning(
  { silentMs, wasHeard, isLeaving, isZoneHeard }: VmEvidence,
): boolean {
  const isKnownToEnd = isLeaving || (!wasHeard && isZoneHeard);
  return silentMs < (isKnownToEnd ? ENDED_RETENTION_MS : SILENT_RETENTION_MS);
}
