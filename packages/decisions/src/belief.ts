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
const FAILURES_TO_STOP = 3;

/** Pause before one request probes a failing target: the first one, doubled
 * each time up to the longest. Half a second is about ten times a usual
 * request. */
const FIRST_PAUSE_MS = 500;
const LONGEST_PAUSE_MS = 8_000;

/** Back-off after a target refused for lack of capacity: the first one and the
 * longest. The first is about one usual request, after which a slot there
 * should be free. */
const FIRST_REST_MS = 20;
const LONGEST_REST_MS = 1_000;

/** A target is slow when its requests take this many times the usual time of
 * their class. Lower ratios also occur by chance. */
const SLOW_RATIO = 2.5;

/** Weight of one response in the ratio: a memory of about 10 responses. Single
 * ratios are capped, so that one long request among short ones can't mark a
 * target as slow. */
const RATIO_WEIGHT = 0.1;
const RATIO_CUT = 8;

/** A slow target without a response for this long may be tried once more. */
const SLOW_PROBE_MS = 1_000;

/** Expected ratio of a cold target, until it has given enough responses to be
 * judged by them. */
const COLD_RATIO = 2;
const WARM_AFTER_ANSWERS = 20;

/** Age at which a report of the target or of another VM expires. Reports arrive
 * about once a second; this is three missing ones. */
const WORD_EXPIRES_MS = 3_000;

/** Number of other VMs that must report a target as failing before it counts as
 * failing here. */
const PEERS_TO_STOP = 2;

/** Health state of a target; `resting` means that it is in back-off. */
export type Standing = "usable" | "resting" | "failing";

/** Health signals of one target, each with its age. */
export class Belief {
  /** Time taken against what is usual, 1 is usual. */
  #ratio = 1;
  #answers = 0;
  #failures = 0;
  #pauses = 0;
  #pauseUntil = 0;
  #refusals = 0;
  #restUntil = 0;
  #lastAnswerAt = Number.NEGATIVE_INFINITY;
  #slowProbeAt = 0;
  #unhealthyUntil = 0;
  #peers: Map<VmId, number> | undefined;

  /** Whether this VM's own attempts show that the target fails. */
  get failing(): boolean {
    return this.#failures >= FAILURES_TO_STOP;
  }

  /** Time taken against what is usual, 1 is usual. */
  get ratio(): number {
    return this.#ratio;
  }

  /** Whether the target is slower than chance explains. */
  get slow(): boolean {
    return this.#ratio > SLOW_RATIO;
  }

  /** Records a response; `ratio` is its time relative to the usual. */
  answered(ratio: number, now: number): void {
    this.#answers++;
    this.#failures = 0;
    this.#pauses = 0;
    this.#refusals = 0;
    this.#restUntil = 0;
    this.#lastAnswerAt = now;
    const sample = Math.min(ratio, RATIO_CUT);
    this.#ratio += RATIO_WEIGHT * (sample - this.#ratio);
  }

  /** Records an attempt that was cancelled after this ratio of the usual time:
   * a lower bound. */
  tookAtLeast(ratio: number): void {
    const sample = Math.min(ratio, RATIO_CUT);
    this.#ratio += RATIO_WEIGHT * (sample - this.#ratio);
  }

  /** Records a failed attempt or a server error. */
  failed(now: number): void {
    this.#failures++;
    if (!this.failing) return;
    const pause = FIRST_PAUSE_MS * 2 ** Math.min(this.#pauses, 10);
    this.#pauses++;
    this.#pauseUntil = now + Math.min(pause, LONGEST_PAUSE_MS);
  }

  /** Records that the target refused a request without running it. */
  refused(now: number): void {
    const rest = FIRST_REST_MS * 2 ** Math.min(this.#refusals, 10);
    this.#refusals++;
    this.#restUntil = now + Math.min(rest, LONGEST_REST_MS);
  }

  /** Records the target's own health report; expired ones are ignored. */
  reported(healthy: boolean, ageMs: number, now: number): void {
    if (ageMs >= WORD_EXPIRES_MS) return;
    this.#unhealthyUntil = healthy ? 0 : now - ageMs + WORD_EXPIRES_MS;
  }

  /** Records another VM's report from its own attempts. */
  heard(
    word: { from: VmId; failing: boolean; ageMs: number },
    now: number,
  ): void {
    this.#peers ??= new Map();
    if (word.failing) {
      this.#peers.set(word.from, now - word.ageMs + WORD_EXPIRES_MS);
    } else this.#peers.delete(word.from);
  }

  /** Current health state. Where `mostFail`, most targets of the service look
   * dead from here. Then the cause is more likely the network or the signals,
   * and ejecting the targets would turn a partial fault into a total one. */
  standing(now: number, mostFail: boolean): Standing {
    if (this.#restUntil > now) return "resting";
    if (mostFail) return "usable";
    if (this.failing) return "failing";
    if (this.#peersAgree(now)) return "failing";
    return "usable";
  }

  /** Whether one request may now probe a failing target. */
  mayProbe(now: number): boolean {
    return this.#pauseUntil <= now;
  }

  /** Records that a probe was sent. The next one is allowed after its outcome,
   * or after a pause. */
  probed(now: number): void {
    this.#pauseUntil = now + FIRST_PAUSE_MS;
  }

  /** Extra time that a request is expected to take there, in ms, relative to
   * `usualMs`; 0 for a healthy target. */
  extraMs(usualMs: number, cold: boolean, now: number): number {
    let extra = 0;
    if (this.slow) extra = this.#slowExtra(usualMs, now);
    else if (cold && this.#answers < WARM_AFTER_ANSWERS) {
      extra = (COLD_RATIO - 1) * usualMs;
    }
    if (this.#unhealthyUntil > now) extra += usualMs;
    if (this.failing) extra += 2 * usualMs;
    return extra;
  }

  /** Periodically lets one request treat a slow target as not slow: its
   * responses are the only sign of recovery. */
  #slowExtra(usualMs: number, now: number): number {
    const asked = this.#lastAnswerAt + SLOW_PROBE_MS > now ||
      this.#slowProbeAt + SLOW_PROBE_MS > now;
    return asked ? (this.#ratio - 1) * usualMs : 0;
  }

  /** Records that a request was dispatched to the target. */
  used(now: number): void {
    if (this.slow) this.#slowProbeAt = now;
  }

  #peersAgree(now: number): boolean {
    if (this.#peers === undefined || this.#peers.size === 0) return false;
    if (this.#lastAnswerAt + WORD_EXPIRES_MS > now) return false;
    let failing = 0;
    for (const until of this.#peers.values()) if (until > now) failing++;
    return failing >= PEERS_TO_STOP;
  }
}
