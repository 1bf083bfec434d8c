/**
 * Which VMs count as part of the fleet, whose limits all VMs share.
 *
 * A VM that others do not hear of may run all the same, on the other side of a network
 * partition, and use its part of each limit. Silence is therefore no evidence of its end
 * for hours, and only the time in which this VM could hear it counts as silence.
 *
 * @module
 */

import type { ZoneId } from "@poplarthread/ids";

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

/** What is known of another VM. Times are of the {@link ListeningClock}. */
export interface KnownVm {
  readonly member: { readonly zone: ZoneId };
  /** When it was last heard of, or first listed. */
  readonly knownAt: number;
  /** Since when it is up without a pause; undefined if it is only listed in the platform's store, where VMs stay that ended long ago. */
  readonly upSince: number | undefined;
  /** It said that it leaves. */
  readonly isLeaving: boolean;
}

/** Options of {@link countRunning}. */
export interface CountOptions {
  /** Time of the {@link ListeningClock}. */
  readonly now: number;
  /** Zones that are heard of, which would report their VMs. */
  readonly heardZones: ReadonlySet<ZoneId>;
  /** Whether a VM counts as ended when its zone does not hear of it, though it may be cut off alone. */
  readonly isZoneTrusted: boolean;
}

/** Number of VMs that may be running. */
export function countRunning(
  vms: readonly KnownVm[],
  options: CountOptions,
): number {
  return runningVms(vms, options).length;
}

/** VMs that may be running. */
export function runningVms<T extends KnownVm>(
  vms: readonly T[],
  { now, heardZones, isZoneTrusted }: CountOptions,
): readonly T[] {
  return vms.filter(({ member, knownAt, upSince, isLeaving }) => {
    const isMissed = heardZones.has(member.zone) &&
      (isZoneTrusted || upSince === undefined);
    const retentionMs = isLeaving || isMissed
      ? ENDED_RETENTION_MS
      : SILENT_RETENTION_MS;
    return now - knownAt < retentionMs;
  });
}
