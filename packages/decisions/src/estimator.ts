/**
 * Running mean and mean deviation of request times.
 *
 * @module
 */

/** Weight of a new sample: a memory of about 40 samples, a quarter of a second
 * at 150 requests per second. */
const SAMPLE_WEIGHT = 0.05;

/** Initial estimate until the first sample. Only its order of magnitude
 * matters; the first responses replace it. */
export const INITIAL_MEAN_MS = 50;

/** Mean and mean deviation, exponentially weighted. */
export class Estimator {
  mean = INITIAL_MEAN_MS;
  deviation = INITIAL_MEAN_MS / 2;
  #samples = 0;

  /** Adds one measured time. */
  add(ms: number): void {
    this.#samples++;
    const weight = Math.max(SAMPLE_WEIGHT, 1 / this.#samples);
    const error = ms - this.mean;
    this.mean += weight * error;
    this.deviation += weight * (Math.abs(error) - this.deviation);
  }
}
