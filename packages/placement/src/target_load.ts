/**
 * Load estimate of one target.
 *
 * Several VMs share a target's few slots, and each VM knows the others' requests
 * only from the load that the target reports with each response. Without these
 * reports all VMs would fill the same slots, and targets would refuse requests
 * while others are idle.
 *
 * @module
 */

/** A target's report of its own load. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /**
   * How long work takes on the target's machine at this moment, as a multiple of the
   * usual time; undefined if the target does not report it.
   */
  readonly pace?: number;
}

/**
 * Half-life of the reported number of other VMs' requests: about seven warm service
 * times of the deployments (100 to 200 ms). The other VMs replace completed
 * requests with new ones, so a report stays useful for longer than the requests it
 * counted, but after some seconds it is obsolete.
 */
const REPORT_HALF_LIFE_MS = 1_000;

/**
 * Half-life of a reported pace. Other work on the target's machine starts and ends
 * several times a second, so an older report says little about the next request.
 */
const PACE_HALF_LIFE_MS = 400;

/** Tracks the load of one target. Times are milliseconds of the monotonic clock. */
export class TargetLoad {
  /** Pending requests of this VM. */
  #localRequests = 0;
  #remoteRequests = 0;
  #reportedAt = 0;
  /** Undefined if the target does not report it. */
  #pace: number | undefined;

  /** Records that a request was sent. */
  sent(): void {
    this.#localRequests += 1;
  }

  /** Records that a request ended, whatever its outcome. */
  ended(): void {
    this.#localRequests -= 1;
  }

  /** Applies a load report received with a response; call it after {@link ended}. */
  reported(report: LoadReport, now: number): void {
    const total = report.running + report.waiting;
    this.#remoteRequests = Math.max(0, total - this.#localRequests);
    this.#reportedAt = now;
    this.#pace = report.pace;
  }

  /**
   * Expected time of work that starts now, as a multiple of the usual time; 1 if the
   * target does not report it.
   */
  pace(now: number): number {
    if (this.#pace === undefined) {
      return 1;
    }
    const age = now - this.#reportedAt;
    return 1 + (this.#pace - 1) * 2 ** (-age / PACE_HALF_LIFE_MS);
  }

  /** Estimated number of requests of all VMs at the target. */
  inFlight(now: number): number {
    const age = now - this.#reportedAt;
    return this.#localRequests +
      this.#remoteRequests * 2 ** (-age / REPORT_HALF_LIFE_MS);
  }

  /** Expected wait for a slot in milliseconds. */
  waitMs(now: number, { slots, serviceMs }: WaitParams): number {
    const ahead = this.inFlight(now) - slots + 1;
    return ahead <= 0 ? 0 : ahead * serviceMs / slots * this.pace(now);
  }
}

/** Parameters of the expected wait for a slot. */
export interface WaitParams {
  readonly slots: number;
  /** Mean time that a request occupies a slot. */
  readonly serviceMs: number;
}
