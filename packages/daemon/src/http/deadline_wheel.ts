/**
 * One timer for the deadlines of all requests: a hashed wheel of short ticks.
 * A timer for each request would cost more than the request's own decisions.
 *
 * @module
 */

/** Anything that runs out. At most one wheel holds it, once. */
export interface Expiring {
  /** When it runs out, in milliseconds of the monotonic clock; later than now when added. */
  readonly expiresAt: number;
  /** Called once, after `expiresAt`. */
  expire(now: number): void;
}

/** Length of a tick: how late a deadline may be noticed, in milliseconds. */
export const TICK_MS = 10;
/** Slots of the wheel: 10 s of ticks, so that most deadlines lie within one turn. */
const SLOTS = 1_024;

/** Holds what expires; `advance` is called once a tick. */
export class DeadlineWheel {
  readonly #slots: Set<Expiring>[] = Array.from(
    { length: SLOTS },
    () => new Set(),
  );
  /** The last tick that was handled. */
  #tick: number;

  constructor(now: number) {
    this.#tick = Math.floor(now / TICK_MS);
  }

  add(entry: Expiring): void {
    this.#slot(entry).add(entry);
  }

  delete(entry: Expiring): void {
    this.#slot(entry).delete(entry);
  }

  /** Whether something may expire within `ms` after the last {@link advance}, at most one turn of the wheel. */
  dueWithin(ms: number): boolean {
    const ticks = Math.min(SLOTS, Math.ceil(ms / TICK_MS));
    for (let tick = this.#tick + 1; tick <= this.#tick + ticks; tick += 1) {
      if (this.#slots[tick % SLOTS]!.size > 0) {
        return true;
      }
    }
    return false;
  }

  /** Expires everything that is due. */
  advance(now: number): void {
    const due = Math.floor(now / TICK_MS);
    const from = Math.max(this.#tick + 1, due - SLOTS + 1);
    for (let tick = from; tick <= due; tick += 1) {
      this.#expire(this.#slots[tick % SLOTS]!, now);
    }
    this.#tick = due;
  }

  #expire(slot: Set<Expiring>, now: number): void {
    for (const entry of slot) {
      // Later turns of the wheel share the slot.
      if (entry.expiresAt <= now) {
        slot.delete(entry);
        entry.expire(now);
      }
    }
  }

  #slot(entry: Expiring): Set<Expiring> {
    // Rounded up: the tick of the slot comes after the deadline, never before.
    const tick = Math.max(
      Math.ceil(entry.expiresAt / TICK_MS),
      0,
    );
    return this.#slots[tick % SLOTS]!;
  }
}
