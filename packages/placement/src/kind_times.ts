/**
 * Time that a request takes on a target that has its object cached, and the time
 * that the cache saves, by kind of request.
 *
 * Kinds of requests differ widely: one takes 40 ms with the object cached and 140
 * ms without, another one 260 and 880 ms. If uncached targets had the same cost for
 * all kinds, short requests would wait in queues rather than run elsewhere at once,
 * and long ones would take slots from all others. Responses would be late for
 * whichever kind the cost doesn't fit.
 *
 * @module
 */

/** Newest samples that the median is computed from: some seconds of a frequent kind. */
const MAX_SAMPLES = 48;
/** Minimum number of samples for a usable median. */
const MIN_SAMPLES = 3;
/**
 * The median is recomputed after this many samples; sorting for each one would cost
 * more than it gains.
 */
const MEDIAN_INTERVAL_SAMPLES = 8;
/** Used until the saved time is known. */
const DEFAULT_SAVED_MS = 300;
/** Used until either time is known. */
const DEFAULT_WARM_MS = 200;
/**
 * Share of the uncached time that is assumed to be saved until the cached time is
 * known.
 */
const DEFAULT_SAVED_SHARE = 0.6;
/**
 * Minimum share of the uncached time that counts as saved. A lower one is
 * implausible, as kinds that save nothing usually have no affinity; and with the
 * minimum requests still prefer their home target.
 */
const MIN_SAVED_SHARE = 0.3;

/**
 * Median of the newest samples. Unlike a mean it is not affected by a slow target
 * or by a few objects wrongly assumed to be cached.
 */
class RunningMedian {
  readonly #samples: number[] = [];
  #count = 0;
  #median = 0;

  get isKnown(): boolean {
    return this.#count >= MIN_SAMPLES;
  }

  get value(): number {
    return this.#median;
  }

  add(sample: number): void {
    this.#samples[this.#count % MAX_SAMPLES] = sample;
    this.#count += 1;
    if (
      this.#count <= MEDIAN_INTERVAL_SAMPLES ||
      this.#count % MEDIAN_INTERVAL_SAMPLES === 0
    ) {
      const sorted = this.#samples.toSorted((a, b) => a - b);
      this.#median = sorted[Math.floor(sorted.length / 2)]!;
    }
  }
}

/** Times of one kind in milliseconds. */
interface Times {
  readonly warm: RunningMedian;
  readonly unwarmed: RunningMedian;
}

/** Median times by kind of request. */
export class KindTimes {
  readonly #times = new Map<string, Times>();

  /**
   * Records a response time without the round trip; `isWarm` if the target was
   * assumed to have the object cached.
   */
  record(kind: string, ms: number, isWarm: boolean): void {
    let times = this.#times.get(kind);
    if (times === undefined) {
      times = { warm: new RunningMedian(), unwarmed: new RunningMedian() };
      this.#times.set(kind, times);
    }
    (isWarm ? times.warm : times.unwarmed).add(Math.max(1, ms));
  }

  /** Time in milliseconds that a target with the object cached takes. */
  warmMs(kind: string): number {
    const times = this.#times.get(kind);
    if (times?.warm.isKnown) {
      return times.warm.value;
    }
    return times?.unwarmed.isKnown
      ? times.unwarmed.value * (1 - DEFAULT_SAVED_SHARE)
      : DEFAULT_WARM_MS;
  }

  /** Time in milliseconds that a target with the object cached saves. */
  savedMs(kind: string): number {
    const times = this.#times.get(kind);
    if (times === undefined || !times.unwarmed.isKnown) {
      return DEFAULT_SAVED_MS;
    }
    const unwarmed = times.unwarmed.value;
    return times.warm.isKnown
      ? Math.max(unwarmed - times.warm.value, unwarmed * MIN_SAVED_SHARE)
      : unwarmed * DEFAULT_SAVED_SHARE;
  }
}
