/**
 * Periodic work that is done often only while there is a reason to.
 *
 * Answers fleets in which each VM has little to do. A timer that fires every 20 ms
 * wakes the process 50 times a second for nothing; on VMs with a quarter of a core
 * that is a third of what they spend without a request, and it is missing when
 * requests come.
 *
 * @module
 */

/** Calls its work, which says when it is due again. Times are milliseconds of the monotonic clock. */
export class PacedTimer {
  readonly #work: (now: number) => number;
  #timer: NodeJS.Timeout | undefined;
  #dueAt = Infinity;
  #isClosed = false;

  /** `work` returns in how many milliseconds it is due again. */
  constructor(work: (now: number) => number) {
    this.#work = work;
  }

  /** The work is due in `ms`, or earlier where it already is. */
  dueIn(ms: number): void {
    const dueAt = performance.now() + ms;
    if (this.#isClosed || dueAt >= this.#dueAt) {
      return;
    }
    clearTimeout(this.#timer);
    this.#dueAt = dueAt;
    this.#timer = setTimeout(() => this.#fire(), ms);
  }

  /** The work is not done any more. */
  close(): void {
    this.#isClosed = true;
    clearTimeout(this.#timer);
  }

  #fire(): void {
    this.#dueAt = Infinity;
    this.dueIn(this.#work(performance.now()));
  }
}
