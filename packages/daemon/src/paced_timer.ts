/**
 * A timer for periodic work that sets its own interval, so that it runs often only
 * while there is a reason to.
 *
 * In a fleet whose VMs are mostly idle, a timer that fires every 20 ms wakes each
 * process 50 times a second for nothing. On VMs with a quarter of a core that is a
 * third of the CPU time of an idle process, which then lacks when requests come.
 *
 * @module
 */

/** Calls its work, which returns the delay to its next run. Times are milliseconds of the monotonic clock. */
export class PacedTimer {
  readonly #work: (now: number) => number;
  #timer: NodeJS.Timeout | undefined;
  #dueAt = Infinity;
  #isClosed = false;

  /** `work` gets the current time and returns the delay to its next run, in milliseconds. */
  constructor(work: (now: number) => number) {
    this.#work = work;
  }

  /** Schedules the work in `ms` milliseconds, unless it is already due earlier. */
  scheduleWithin(ms: number): void {
    const dueAt = performance.now() + ms;
    if (this.#isClosed || dueAt >= this.#dueAt) {
      return;
    }
    clearTimeout(this.#timer);
    this.#dueAt = dueAt;
    this.#timer = setTimeout(() => this.#fire(), ms);
  }

  /** Cancels the next run; later calls of {@link scheduleWithin} do nothing. */
  close(): void {
    this.#isClosed = true;
    clearTimeout(this.#timer);
  }

  #fire(): void {
    this.#dueAt = Infinity;
    this.scheduleWithin(this.#work(performance.now()));
  }
}
