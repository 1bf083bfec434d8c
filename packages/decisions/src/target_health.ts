/**
 * Health of one target, as one VM estimates it.
 *
 * Targets may be slow, unresponsive, cold or shedding load, or report a wrong
 * state. A target's own health endpoint lags and can be wrong: ejecting targets
 * on its report alone removes capacity, and trusting it alone fails every
 * request sent to a broken target. So this VM's own attempts decide, other VMs'
 * attempts count when several agree, and the target's own report only makes it
 * less preferred.
 *
 * @module
 */

import type { VmId } from "@poplarthread/ids";

/** Consecutive failures after which a target gets no new work. At a failure
 * rate of 1 %, two in a row happen by chance about once in 10,000 requests,
 * three once in a million. */
const MIN_FAILURES = 3;

/** Pause before one request probes a failing target: the first one, doubled
 * each time up to the longest. Half a second is about ten times a usual
 * request. */
const INITIAL_PAUSE_MS = 500;
const MAX_PAUSE_MS = 8_000;

/** Back-off after a target refused for lack of capacity: the first one and the
 * longest. The first is about one usual request, after which a slot there
 * should be free. */
const INITIAL_BACK_OFF_MS = 20;
const MAX_BACK_OFF_MS = 1_000;

/** A target is slow when its requests take this many times the usual time of
 * their class. Lower ratios also occur by chance. */
const SLOW_RATIO = 2.5;

/** Weight of one response in the ratio: a memory of about 10 responses. Single
 * ratios are capped, so that one long request among short ones can't mark a
 * target as slow. */
const RATIO_WEIGHT = 0.1;
const MAX_RATIO = 8;

/** A slow target without a response for this long may be tried once more. */
const SLOW_PROBE_INTERVAL_MS = 1_000;

/** Expected ratio of a cold target, until it has given enough responses to be
 * judged by them. */
const COLD_RATIO = 2;
const WARM_AFTER_RESPONSES = 20;

/** Age at which a report of the target or of another VM expires. Reports arrive
 * about once a second; this is three missing ones. */
const REPORT_TTL_MS = 3_000;

/** Number of other VMs that must report a target as failing before it counts as
 * failing here. */
const MIN_FAILING_PEERS = 2;

/** Health state of a target; `resting` means that it is in back-off. */
export type HealthState = "usable" | "resting" | "failing";

/** Health signals of one target, each with its age. */
export class TargetHealth {
  /** Response time relative to the usual one; 1 is usual. */
  #ratio = 1;
  #responses = 0;
  #failures = 0;
  #pauses = 0;
  #pauseUntil = 0;
  #refusals = 0;
  #backOffUntil = 0;
  #lastResponseAt = Number.NEGATIVE_INFINITY;
  #slowProbeAt = 0;
  #unhealthyUntil = 0;
  /** VMs that report the target as failing, with the expiry of each report. */
  #peers: Map<VmId, number> | undefined;

  /** Whether this VM's own attempts show that the target fails. */
  get failing(): boolean {
    return this.#failures >= MIN_FAILURES;
  }

  /** Response time relative to the usual one; 1 is usual. */
  get ratio(): number {
    return this.#ratio;
  }

  /** Whether the target is slower than chance explains. */
  get slow(): boolean {
    return this.#ratio > SLOW_RATIO;
  }

  /** Records a response; `ratio` is its time relative to the usual. */
  recordResponse(ratio: number, now: number): void {
    this.#responses++;
    this.#failures = 0;
    this.#pauses = 0;
    this.#refusals = 0;
    this.#backOffUntil = 0;
    this.#lastResponseAt = now;
    const sample = Math.min(ratio, MAX_RATIO);
    this.#ratio += RATIO_WEIGHT * (sample - this.#ratio);
  }

  /** Records an attempt that was cancelled after this ratio of the usual time:
   * a lower bound. */
  recordLowerBound(ratio: number): void {
    const sample = Math.min(ratio, MAX_RATIO);
    this.#ratio += RATIO_WEIGHT * (sample - this.#ratio);
  }

  /** Records a failed attempt or a server error. */
  recordFailure(now: number): void {
    this.#failures++;
    if (!this.failing) return;
    const pauseMs = INITIAL_PAUSE_MS * 2 ** Math.min(this.#pauses, 10);
    this.#pauses++;
    this.#pauseUntil = now + Math.min(pauseMs, MAX_PAUSE_MS);
  }

  /** Records that the target refused a request without running it. */
  recordRefusal(now: number): void {
    const backOffMs = INITIAL_BACK_OFF_MS * 2 ** Math.min(this.#refusals, 10);
    this.#refusals++;
    this.#backOffUntil = now + Math.min(backOffMs, MAX_BACK_OFF_MS);
  }

  /** Records the target's own health report; expired ones are ignored. */
  recordReport(healthy: boolean, ageMs: number, now: number): void {
    if (ageMs >= REPORT_TTL_MS) return;
    this.#unhealthyUntil = healthy ? 0 : now - ageMs + REPORT_TTL_MS;
  }

  /** Records another VM's report from its own attempts. */
  recordPeerReport(
    report: { from: VmId; failing: boolean; ageMs: number },
    now: number,
  ): void {
    this.#peers ??= new Map();
    if (report.failing) {
      this.#peers.set(report.from, now - report.ageMs + REPORT_TTL_MS);
    } else this.#peers.delete(report.from);
  }

  /** Current health state. Where `mostFailing`, most targets of the service look
   * dead from here. Then the cause is more likely the network or the signals,
   * and ejecting the targets would turn a partial fault into a total one. */
  stateAt(now: number, mostFailing: boolean): HealthState {
    if (this.#backOffUntil > now) return "resting";
    if (mostFailing) return "usable";
    if (this.failing) return "failing";
    if (this.#enoughPeersFailing(now)) return "failing";
    return "usable";
  }

  /** Whether one request may now probe a failing target. */
  mayProbe(now: number): boolean {
    return this.#pauseUntil <= now;
  }

  /** Records that a probe was sent. The next one is allowed after its outcome,
   * or after a pause. */
  recordProbe(now: number): void {
    this.#pauseUntil = now + INITIAL_PAUSE_MS;
  }

  /** Extra time that a request is expected to take there, in ms, relative to
   * `usualMs`; 0 for a healthy target. */
  extraMs(usualMs: number, cold: boolean, now: number): number {
    let extra = 0;
    if (this.slow) extra = this.#slowExtraMs(usualMs, now);
    else if (cold && this.#responses < WARM_AFTER_RESPONSES) {
      extra = (COLD_RATIO - 1) * usualMs;
    }
    if (this.#unhealthyUntil > now) extra += usualMs;
    if (this.failing) extra += 2 * usualMs;
    return extra;
  }

  /** Periodically lets one request treat a slow target as not slow: its
   * responses are the only sign of recovery. */
  #slowExtraMs(usualMs: number, now: number): number {
    const wasTriedRecently =
      this.#lastResponseAt + SLOW_PROBE_INTERVAL_MS > now ||
      this.#slowProbeAt + SLOW_PROBE_INTERVAL_MS > now;
    return wasTriedRecently ? (this.#ratio - 1) * usualMs : 0;
  }

  /** Records that a request was dispatched to the target. */
  recordDispatch(now: number): void {
    if (this.slow) this.#slowProbeAt = now;
  }

  #enoughPeersFailing(now: number): boolean {
    if (this.#peers === undefined || this.#peers.size === 0) return false;
    if (this.#lastResponseAt + REPORT_TTL_MS > now) return false;
    let failing = 0;
    for (const until of this.#peers.values()) if (until > now) failing++;
    return failing >= MIN_FAILING_PEERS;
  }
}
