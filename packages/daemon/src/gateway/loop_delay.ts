/**
 * Whether this VM comes late to what it has to do.
 *
 * Answers a VM that is short of processor time: slowed down, suspended for a
 * while, or with more requests than it can read. What it reads then is old, and
 * what follows it on the same connection, such as its caller's close, is not read
 * yet.
 *
 * @module
 */

/**
 * A tick that comes this much too late, in milliseconds, shows it. A sound VM is
 * late by some milliseconds.
 */
const LATE_MS = 100;

/** Follows a tick that should come at known times, in milliseconds of the monotonic clock. */
export class LoopDelay {
  #dueAt: number;
  #lateMs = 0;

  /** The first tick is due at `dueAt`. */
  constructor(dueAt: number) {
    this.#dueAt = dueAt;
  }

  /** The tick has come; the next one is due in `nextMs`. */
  ticked(now: number, nextMs: number): void {
    this.#lateMs = now - this.#dueAt;
    this.#dueAt = now + nextMs;
  }

  /** Whether the last tick came late, or the next one does. */
  isLate(now: number): boolean {
    return Math.max(this.#lateMs, now - this.#dueAt) > LATE_MS;
  }
}
