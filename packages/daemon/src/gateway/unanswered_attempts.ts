/**
 * Attempts that got no response, by the run of the target that they were sent to,
 * until it is known whether that run ended under them.
 *
 * @module
 */

import type {
  Fingerprint,
  TargetRun,
} from "@poplarthread/coordination/held_back";

/**
 * How long an attempt without a response is linked to the end of its run. The entry of
 * a target that crashed expires after some seconds, and that of its next run takes its
 * place at about the same time.
 */
const LINK_MS = 10_000;
/** Runs whose end is remembered: an attempt may break only after the end has become known. */
const MAX_ENDED_RUNS = 1_000;

/** How the end of a run became known. */
export type RunEnd =
  /** Its target has been started again. */
  | "replaced"
  /** Its entry is missing, or its address refuses connections. */
  | "gone";

/** An attempt without a response. */
export interface UnansweredAttempt {
  /** What repeats of its request have in common. */
  readonly fingerprints: readonly Fingerprint[];
  /** When it ended. */
  readonly at: number;
}

interface Attempt extends UnansweredAttempt {
  /** Whether the run has responded to something that was sent later. */
  isOutlived: boolean;
}

interface Run {
  attempts: Attempt[];
  /** When a connection to it was first refused; undefined after a response. */
  refusedAt: number | undefined;
  /** Whether it has not responded on a new connection. */
  isUnresponsive: boolean;
}

/** See the module comment. Times are milliseconds of the monotonic clock. */
export class UnansweredAttempts {
  readonly #runs = new Map<TargetRun, Run>();
  /** Runs that refuse connections or do not respond on new ones. */
  readonly #suspected = new Set<Run>();
  readonly #endedAt = new Map<TargetRun, number>();

  /** Adds an attempt. Returns true if its run is known to have ended. */
  add(run: TargetRun, attempt: UnansweredAttempt): boolean {
    if (this.#endedAt.has(run)) {
      return true;
    }
    const known = this.#runs.get(run) ??
      { attempts: [], refusedAt: undefined, isUnresponsive: false };
    known.attempts.push({ ...attempt, isOutlived: false });
    this.#runs.set(run, known);
    return false;
  }

  /** The run has responded to something that was sent at `sentAt`. */
  responded(run: TargetRun, sentAt: number): void {
    this.#endedAt.delete(run);
    const known = this.#runs.get(run);
    if (known !== undefined) {
      this.#trust(known);
      for (const attempt of known.attempts) {
        attempt.isOutlived ||= attempt.at <= sentAt;
      }
    }
  }

  /** A connection to the run was refused. */
  refused(run: TargetRun, now: number): void {
    const known = this.#runs.get(run);
    if (known !== undefined) {
      known.refusedAt ??= now;
      this.#suspected.add(known);
    }
  }

  /** The run does not respond on a new connection. */
  unresponsive(run: TargetRun): void {
    const known = this.#runs.get(run);
    if (known !== undefined) {
      known.isUnresponsive = true;
      this.#suspected.add(known);
    }
  }

  /** The run has ended. Returns the attempts under which it did. */
  ended(
    run: TargetRun,
    end: RunEnd,
    now: number,
  ): readonly UnansweredAttempt[] {
    const attempts = this.#runs.get(run)?.attempts ?? [];
    this.#forget(run);
    this.#endedAt.set(run, now);
    if (this.#endedAt.size > MAX_ENDED_RUNS) {
      const [oldest] = this.#endedAt.keys();
      this.#endedAt.delete(oldest!);
    }
    // What responded at the address later may have been the next run.
    return attempts.filter(({ at, isOutlived }) =>
      now - at < LINK_MS && (end === "replaced" || !isOutlived)
    );
  }

  /** Runs that have refused connections for `ms`. */
  refusedFor(ms: number, now: number): readonly TargetRun[] {
    return [...this.#runs].flatMap(([run, { refusedAt }]) =>
      refusedAt !== undefined && now - refusedAt >= ms ? [run] : []
    );
  }

  /** Forgets that runs seem to have ended: this VM reaches none. Returns the attempts concerned. */
  forgetRefusals(): readonly (readonly [TargetRun, UnansweredAttempt])[] {
    const forgotten: (readonly [TargetRun, UnansweredAttempt])[] = [];
    for (const [run, known] of this.#runs) {
      if (known.refusedAt !== undefined) {
        known.attempts.forEach((attempt) => forgotten.push([run, attempt]));
      }
      this.#trust(known);
    }
    return forgotten;
  }

  /** Number of runs that seem to have ended under a request. */
  countSuspected(fingerprint: Fingerprint): number {
    return [...this.#suspected].filter(({ attempts }) =>
      attempts.some(({ fingerprints, isOutlived }) =>
        !isOutlived && fingerprints.includes(fingerprint)
      )
    ).length;
  }

  /** Forgets attempts that are too old to be linked to an end of their run. Must be called regularly. */
  sweep(now: number): void {
    for (const [run, known] of this.#runs) {
      known.attempts = known.attempts.filter(({ at }) => now - at < LINK_MS);
      if (known.attempts.length === 0) {
        this.#forget(run);
      }
    }
    for (const [run, at] of this.#endedAt) {
      if (now - at >= LINK_MS) {
        this.#endedAt.delete(run);
      }
    }
  }

  #trust(run: Run): void {
    run.refusedAt = undefined;
    run.isUnresponsive = false;
    this.#suspected.delete(run);
  }

  #forget(run: TargetRun): void {
    const known = this.#runs.get(run);
    if (known !== undefined) {
      this.#suspected.delete(known);
      this.#runs.delete(run);
    }
  }
}
