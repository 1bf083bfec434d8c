/**
 * Counts events over a sliding window in steps.
 *
 * @module
 */

/** Steps in which a window is counted. */
const STEPS = 20;

/** Times are milliseconds of one monotonic clock. */
export class WindowCount {
  readonly #counts = new Array<number>(STEPS).fill(0);
  readonly #stepMs: number;
  #step = 0;
  #sum = 0;

  /** A window of `windowMs` milliseconds. */
  constructor(windowMs: number) {
    this.#stepMs = windowMs / STEPS;
  }

  /** One more event. */
  add(now: number): void {
    this.sum(now);
    this.#counts[this.#step % STEPS]! += 1;
    this.#sum += 1;
  }

  /** Events within the window before `now`. */
  sum(now: number): number {
    const step = Math.floor(now / this.#stepMs);
    const passed = Math.min(step - this.#step, STEPS);
    for (let back = 1; back <= passed; back++) {
      const slot = (this.#step + back) % STEPS;
      this.#sum -= this.#counts[slot]!;
      this.#counts[slot] = 0;
    }
    this.#step = step;
    return this.#sum;
  }
}
