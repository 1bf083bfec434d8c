/**
 * Counts events in a sliding window, with a resolution of fixed steps.
 *
 * @module
 */

/** Number of steps per window. */
const STEPS = 20;

/** Event counter; times are milliseconds of one monotonic clock. */
export class WindowCount {
  readonly #counts = new Array<number>(STEPS).fill(0);
  readonly #stepMs: number;
  #step = 0;
  #sum = 0;

  constructor(windowMs: number) {
    this.#stepMs = windowMs / STEPS;
  }

  /** Counts one event. */
  add(now: number): void {
    this.sum(now);
    this.#counts[this.#step % STEPS]! += 1;
    this.#sum += 1;
  }

  /** Number of events within the window that ends at `now`. */
  sum(now: number): number {
    const step = Math.floor(now / this.#stepMs);
    const passed = Math.min(step - this.#step, STEPS);
    for (let offset = 1; offset <= passed; offset++) {
      const slot = (this.#step + offset) % STEPS;
      this.#sum -= this.#counts[slot]!;
      this.#counts[slot] = 0;
    }
    this.#step = step;
    return this.#sum;
  }
}
