/**
 * Running mean and mean deviation of a time, for what a request of a class
 * usually takes.
 *
 * @module
 */

/** Weight of a new sample: about 40 samples of memory, a quarter of a second
 * at the rate of one region of the larger service (150 requests a second). */
const WEIGHT = 0.05;

/** Taken as usual until the first sample: between a cached page and a booking.
 * Only the order of size matters; the first answers replace it. */
export const FIRST_GUESS_MS = 50;

/** Mean and mean deviation, exponentially weighted. */
export class Estimator {
  mean = FIRST_GUESS_MS;
  deviation = FIRST_GUESS_MS / 2;
  #samples = 0;

  /** Takes one measured time in, in milliseconds. */
  add(ms: number): void {
    this.#samples++;
    const weight = Math.max(WEIGHT, 1 / this.#samples);
    const error = ms - this.mean;
    this.mean += weight * error;
    this.deviation += weight * (Math.abs(error) - this.deviation);
  }
}
