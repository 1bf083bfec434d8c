/**
 * Lets requests through one by one after they were held back.
 *
 * Copies of a request may come to many VMs at once when its hold is over. If each VM sent
 * one of them on, the request would crash as many targets before the others hear of it.
 * So VMs take turns, which they compute alike.
 *
 * @module
 */

/** Long enough for a crash to be noticed and to become known to the VM whose turn is next. */
const TURN_MS = 2_000;
/** Part of a turn in which the request is let through; the rest is for news of its crash. */
const OPEN_MS = 1_000;

/** A VM's place among those that take turns. */
export interface TurnPlace {
  /** From 0. */
  readonly position: number;
  readonly vms: number;
}

/** The trials of one request at one VM. Times are milliseconds of the monotonic clock. */
export class CrashTrials {
  /** The turn in which a copy was let through, and that copy. */
  #latest: { readonly turn: number; readonly copy: object } | undefined;

  /** How long a copy must wait, given when the hold ended; 0 if it may run now. */
  waitMs(
    copy: object,
    { now, heldUntil, place }: {
      readonly now: number;
      readonly heldUntil: number;
      readonly place: TurnPlace;
    },
  ): number {
    const elapsedMs = Math.max(0, now - heldUntil);
    const turn = Math.floor(elapsedMs / TURN_MS);
    const isOpen = turn % place.vms === place.position &&
      elapsedMs % TURN_MS < OPEN_MS;
    if (isOpen && this.#latest?.turn !== turn) {
      this.#latest = { turn, copy };
    }
    if (this.#latest?.copy === copy && this.#latest.turn === turn) {
      return 0;
    }
    const turnsLeft = (place.position - turn - 1 + 2 * place.vms) % place.vms +
      1;
    return (turn + turnsLeft) * TURN_MS - elapsedMs;
  }
}
