/**
 * Calendar of the room promised to refused requests that return.
 *
 * Refused callers come back at the time that they are told. If all were told the
 * same one, they would find no room again. So each takes a place in the room that
 * is set aside for returns, and gets the time of that place.
 *
 * @module
 */

/** Resolution of the calendar: return times are spread by more than this. */
const SLOT_MS = 250;
/** Earliest return: a caller that returns sooner meets the same shortage. */
const MIN_RETURN_MS = 250;
/** Latest return: callers don't wait for a later one. */
const MAX_RETURN_MS = 10_000;

/** Requests to promise room to. */
export interface ReturnRequest {
  readonly requests: number;
  /** Returning requests per second that there is room for. */
  readonly roomPerSecond: number;
}

/** The calendar of one priority. Times are milliseconds of one monotonic clock. */
export class ReturnCalendar {
  /** Promised requests by slot of time. */
  readonly #promised = new Map<number, number>();

  /** Promises room to refused requests; returns the mean time until they have it. */
  promise({ requests, roomPerSecond }: ReturnRequest, now: number): number {
    this.#dropPast(now);
    const roomPerSlot = roomPerSecond * SLOT_MS / 1_000;
    const last = slotAt(now + MAX_RETURN_MS);
    let left = requests;
    let weightedMs = 0;
    for (let slot = slotAt(now + MIN_RETURN_MS) + 1; slot <= last; slot++) {
      const promised = this.#promised.get(slot) ?? 0;
      const taken = Math.min(left, Math.max(0, roomPerSlot - promised));
      this.#promised.set(slot, promised + taken);
      weightedMs += taken * ((slot + 0.5) * SLOT_MS - now);
      left -= taken;
      if (left <= 0) {
        break;
      }
    }
    const total = weightedMs + left * MAX_RETURN_MS;
    return requests > 0 ? total / requests : this.#nextFreeMs(roomPerSlot, now);
  }

  #nextFreeMs(roomPerSlot: number, now: number): number {
    let slot = slotAt(now + MIN_RETURN_MS) + 1;
    while ((this.#promised.get(slot) ?? 0) >= roomPerSlot) {
      slot += 1;
      if (slot > slotAt(now + MAX_RETURN_MS)) {
        return MAX_RETURN_MS;
      }
    }
    return (slot + 0.5) * SLOT_MS - now;
  }

  #dropPast(now: number): void {
    for (const slot of this.#promised.keys()) {
      if (slot < slotAt(now)) {
        this.#promised.delete(slot);
      }
    }
  }
}

function slotAt(at: number): number {
  return Math.floor(at / SLOT_MS);
}
