/**
 * Whether this VM reaches targets at all.
 *
 * A VM that has lost its links to all targets sees the same as one whose targets have
 * all failed: connections are refused or time out, or responses do not arrive. So when
 * several targets fail within a short time, the VM checks some others on new
 * connections. Only if none of them responds does it conclude that it is cut off.
 * Connections that were open before prove nothing: they may work on while new ones are
 * refused.
 *
 * @module
 */

import type { TargetId } from "@poplarthread/ids";

/** Whether a VM reaches targets. */
export type ReachState =
  | "reached"
  /** Several targets have failed, and others are being checked. */
  | "in-doubt"
  /** No target responds on a new connection. */
  | "cut-off";

/** How the check of one target ended. */
export type ReachCheck =
  | "responded"
  /** Connecting failed, or the connection broke. */
  | "failed"
  /** The connection is open, and no response arrived in time. */
  | "timed-out"
  /** This VM was too busy to tell. */
  | "unknown";

/**
 * Targets that must fail within {@link FAILURE_WINDOW_MS} to raise doubt. One or two
 * fail at the same time whenever a machine is lost.
 */
const MIN_FAILED_TARGETS = 3;
/** A VM with few requests, or whose targets limit theirs, may notice one failure a second. */
const FAILURE_WINDOW_MS = 5_000;
/** Failed probes count only this long after the last response. */
const PROBE_DOUBT_MS = 2_000;
/** Targets that are checked when there is doubt: enough to include a sound one while a zone is down. */
const CHECKED_TARGETS = 4;
/** Targets that a VM that is cut off checks, and the interval of these checks. */
const RECHECKED_TARGETS = 2;
const RECHECK_INTERVAL_MS = 500;
/** How long a response shows that requests on connections that were open before still arrive. */
const OPEN_CONNECTIONS_PROOF_MS = 1_000;

/** See the module comment. Times are milliseconds of the monotonic clock. */
export class TargetReach {
  readonly #onChange: (state: ReachState) => void;
  #state: ReachState = "reached";
  /** When each target last failed. */
  readonly #failedAt = new Map<TargetId, number>();
  #doubtedAt = -Infinity;
  #cutOffAt = -Infinity;
  #respondedAt = -Infinity;
  #checkedAt = -Infinity;
  #pendingChecks = 0;
  /** Checks of the current round that timed out. */
  #timedOut = 0;

  constructor(onChange: (state: ReachState) => void = () => undefined) {
    this.#onChange = onChange;
  }

  get state(): ReachState {
    return this.#state;
  }

  get isCutOff(): boolean {
    return this.#state === "cut-off";
  }

  /**
   * Whether no target would respond to a request sent now: not on a new connection, nor
   * on one that was open before.
   */
  losesRequests(now: number): boolean {
    const provenAt = this.#respondedAt > this.#cutOffAt
      ? this.#respondedAt
      : -Infinity;
    return this.isCutOff && now - provenAt > OPEN_CONNECTIONS_PROOF_MS;
  }

  /** Targets that failed recently; to be checked last. */
  get recentlyFailed(): ReadonlySet<TargetId> {
    return new Set(this.#failedAt.keys());
  }

  /** Records that a target failed; `known` is the number of known targets. */
  failed(target: TargetId, { now, known }: { now: number; known: number }) {
    this.#failedAt.set(target, now);
    for (const [id, failedAt] of this.#failedAt) {
      if (now - failedAt >= FAILURE_WINDOW_MS) {
        this.#failedAt.delete(id);
      }
    }
    const isDoubtful =
      this.#failedAt.size >= Math.min(MIN_FAILED_TARGETS, known);
    if (isDoubtful && this.#state === "reached") {
      this.#doubtedAt = now;
      this.#enter("in-doubt");
    }
  }

  /**
   * Records that a target that is out of use failed its probe. While any target
   * responds, the others are at fault; a VM whose targets are all out of use sends no
   * requests that could fail.
   */
  probeFailed(
    target: TargetId,
    { now, known }: { now: number; known: number },
  ) {
    if (now - this.#respondedAt > PROBE_DOUBT_MS) {
      this.failed(target, { now, known });
    }
  }

  /** Records a response on any connection. */
  responded(now: number): void {
    this.#respondedAt = now;
  }

  /** Records a response on a connection that was opened to find out whether its target responds. */
  proven(): void {
    this.#reach();
  }

  /** Number of targets to check now; the result of each goes to {@link checked}. */
  takeDueChecks(now: number): number {
    if (this.#state === "reached" || this.#pendingChecks > 0) {
      return 0;
    }
    const isRecheck = this.#state === "cut-off";
    if (isRecheck && now - this.#checkedAt < RECHECK_INTERVAL_MS) {
      return 0;
    }
    this.#checkedAt = now;
    this.#timedOut = 0;
    this.#pendingChecks = isRecheck ? RECHECKED_TARGETS : CHECKED_TARGETS;
    return this.#pendingChecks;
  }

  /** Records the result of a check. */
  checked(check: ReachCheck): void {
    this.#pendingChecks = Math.max(0, this.#pendingChecks - 1);
    switch (check) {
      case "responded":
        this.#respondedAt = Math.max(this.#respondedAt, this.#checkedAt);
        this.#reach();
        return;
      case "unknown":
        if (this.#state === "in-doubt") {
          this.#reach();
        }
        return;
      case "timed-out":
        this.#timedOut += 1;
        break;
      case "failed":
        break;
    }
    if (this.#pendingChecks === 0 && this.#state === "in-doubt") {
      this.#conclude();
    }
  }

  /** Handles the end of a round without any response. */
  #conclude(): void {
    // A target under load may respond too late. While others respond on connections
    // that were open before, that is the likelier reason.
    if (this.#timedOut > 0 && this.#respondedAt > this.#doubtedAt) {
      this.#reach();
    } else {
      this.#cutOffAt = this.#checkedAt;
      this.#enter("cut-off");
    }
  }

  #reach(): void {
    this.#failedAt.clear();
    this.#enter("reached");
  }

  #enter(state: ReachState): void {
    if (state !== this.#state) {
      this.#state = state;
      this.#onChange(state);
    }
  }
}
