/**
 * Detects delays of the event loop.
 *
 * The event loop is delayed on a VM that is short of processor time, was suspended
 * for a while, or receives more requests than it can read. Input is then read long
 * after it arrived, while later input on the same connection, such as the caller's
 * close, is still unread.
 *
 * @module
 */

/** A tick later than this shows a delay. On a healthy VM ticks are late by a few milliseconds. */
const LATE_THRESHOLD_MS = 100;

/** Compares the ticks of a timer with their due times, in milliseconds of the monotonic clock. */
export class LoopDelay {
  #dueAt: number;
  #lateMs = 0;
  /** The last tick, and the one before it. */
  #tickAt: number;
  #earlierTickAt: number;

  /** `dueAt` is the due time of the first tick, `now` when it is scheduled. */
  constructor(dueAt: number, now = 0) {
    this.#dueAt = dueAt;
    this.#tickAt = now;
    this.#earlierTickAt = now;
  }

  /** Records a tick; the next one is due in `nextMs`. Returns by how much the tick was late. */
  recordTick(now: number, nextMs: number): number {
    this.#lateMs = now - this.#dueAt;
    this.#dueAt = now + nextMs;
    this.#earlierTickAt = this.#tickAt;
    this.#tickAt = now;
    return this.#lateMs;
  }

  /** When a signal that is handled at `now` can have arrived at the earliest, as far as delays show. */
  earliestArrival(now: number): number {
    // Signals that came before a late tick are handled after it, behind all other input.
    if (this.#lateMs > LATE_THRESHOLD_MS) {
      return this.#earlierTickAt;
    }
    return now - this.#dueAt > LATE_THRESHOLD_MS ? this.#tickAt : now;
  }

  /** Whether the last tick was late or the next one is overdue. */
  isDelayed(now: number): boolean {
    return Math.max(this.#lateMs, now - this.#dueAt) > LATE_THRESHOLD_MS;
  }
}
