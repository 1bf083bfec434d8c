/**
 * A hashed timing wheel: one timer for the deadlines of all requests. A timer per
 * request would cost more than the routing decisions of the request.
 *
 * @module
 */

/** An object with a deadline. At most one wheel holds it, and only once. */
export interface Expiring {
  /** The deadline, in milliseconds of the monotonic clock; must lie ahead when added. */
  readonly expiresAt: number;
  /** Called once, when `expiresAt` has passed. */
  expire(now: number): void;
}

/** Length of a tick, which bounds how late a deadline may be noticed. */
export const TICK_MS = 10;
/** 10 s of ticks, so that most deadlines lie within one rotation of the wheel. */
const SLOT_COUNT = 1_024;

/** Holds entries until they expire; its owner calls `advance` once a tick. */
export class DeadlineWheel {
  readonly #slots: Set<Expiring>[] = Array.from(
    { length: SLOT_COUNT },
    () => new Set(),
  );
  /** The last tick that was processed. */
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

  /**
   * Whether an entry may expire within `ms` milliseconds of the last {@link advance};
   * looks ahead one rotation of the wheel at most.
   */
  dueWithin(ms: number): boolean {
    const ticks = Math.min(SLOT_COUNT, Math.ceil(ms / TICK_MS));
    for (let tick = this.#tick + 1; tick <= this.#tick + ticks; tick += 1) {
      if (this.#slots[tick % SLOT_COUNT]!.size > 0) {
        return true;
      }
    }
    return false;
  }

  /** Expires every entry whose deadline has passed. */
  advance(now: number): void {
    const currentTick = Math.floor(now / TICK_MS);
    const firstTick = Math.max(this.#tick + 1, currentTick - SLOT_COUNT + 1);
    for (let tick = firstTick; tick <= currentTick; tick += 1) {
      this.#expire(this.#slots[tick % SLOT_COUNT]!, now);
    }
    this.#tick = currentTick;
  }

  #expire(slot: Set<Expiring>, now: number): void {
    for (const entry of slot) {
      // The slot also holds entries that expire in later rotations.
      if (entry.expiresAt <= now) {
        slot.delete(entry);
        entry.expire(now);
      }
    }
  }

  #slot(entry: Expiring): Set<Expiring> {
    // Rounded up, so that the tick of the slot never comes before the deadline.
    const tick = Math.max(
      Math.ceil(entry.expiresAt / TICK_MS),
      0,
    );
    return this.#slots[tick % SLOT_COUNT]!;
  }
}
