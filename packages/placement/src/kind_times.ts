/**
 * How much longer a target takes for a request on an object that it does not
 * keep, by kind of request.
 *
 * Answers kinds that differ widely: one is done in 40 ms on a target that keeps its
 * object and in 140 ms on another, the next one in 260 and 880 ms. With one price
 * for a target that does not keep the object, the short kind waits behind queues
 * rather than run elsewhere at once, and the long one takes slots from all others;
 * one notices whichever kind the price does not fit by its late answers.
 *
 * @module
 */

/** Newest samples that the median is taken of: some seconds of a busy kind. */
const KEPT_SAMPLES = 48;
/** Fewer samples say nothing. */
const LEAST_SAMPLES = 3;
/** The median is taken anew each so many samples; sorting at each would cost more than it tells. */
const MEDIAN_EVERY = 8;
/** Taken until measured, in milliseconds. */
const GUESS_MS = 300;
/** Share of the time without the object that is saved with it, until that was measured. */
const GUESS_SAVED = 0.6;
/** The least share that is believed: most kinds have no affinity if nothing is saved by it. */
const LEAST_SAVED = 0.3;

/** The median of the newest samples. Unlike a mean, it is not moved by a slow target or a wrong belief. */
class RunningMedian {
  readonly #samples: number[] = [];
  #count = 0;
  #median = 0;

  get isKnown(): boolean {
    return this.#count >= LEAST_SAMPLES;
  }

  get value(): number {
    return this.#median;
  }

  add(sample: number): void {
    this.#samples[this.#count % KEPT_SAMPLES] = sample;
    this.#count += 1;
    if (this.#count <= MEDIAN_EVERY || this.#count % MEDIAN_EVERY === 0) {
      const sorted = this.#samples.toSorted((a, b) => a - b);
      this.#median = sorted[Math.floor(sorted.length / 2)]!;
    }
  }
}

/** Times of one kind, in milliseconds. */
interface Times {
  readonly warm: RunningMedian;
  readonly cold: RunningMedian;
}

/** See the module's comment. */
export class KindTimes {
  readonly #times = new Map<string, Times>();

  /** A target that was taken to keep the object, or not to, answered after `ms`, less the round trip. */
  measured(kind: string, ms: number, isWarm: boolean): void {
    let times = this.#times.get(kind);
    if (times === undefined) {
      times = { warm: new RunningMedian(), cold: new RunningMedian() };
      this.#times.set(kind, times);
    }
    (isWarm ? times.warm : times.cold).add(Math.max(1, ms));
  }

  /** What a target that keeps the object saves, in milliseconds. */
  savedMs(kind: string): number {
    const times = this.#times.get(kind);
    if (times === undefined || !times.cold.isKnown) {
      return GUESS_MS;
    }
    const cold = times.cold.value;
    return times.warm.isKnown
      ? Math.max(cold - times.warm.value, cold * LEAST_SAVED)
      : cold * GUESS_SAVED;
  }
}
