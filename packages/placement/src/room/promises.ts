/**
 * The return times that this VM has given to refused requests.
 *
 * A request that returns in its time finds room. A caller may return to another
 * VM, which doesn't know the promise, so the room is also counted by priority:
 * other requests are admitted to it where the caller doesn't come.
 *
 * @module
 */

/** A promise of room. */
export interface RoomPromise {
  /** Recognizes the request when it returns; undefined if it can't be recognized. */
  readonly key: number | undefined;
  readonly priority: number;
  /** When it has room, in milliseconds of the monotonic clock. */
  readonly dueAt: number;
}

/** What a repeated request was promised. */
export type ReturnState =
  | { readonly kind: "none" }
  /** It comes before its time. */
  | { readonly kind: "early"; readonly dueAt: number }
  | { readonly kind: "due" };

/** Callers' timers and the network may be this much early. */
const EARLY_TOLERANCE_MS = 50;
/** Time after which a caller that has not returned is not expected any more. */
const LATE_TOLERANCE_MS = 1_000;
/** Bound of the memory used; the oldest promises are forgotten first. */
const MAX_PROMISES = 1_000;

/** The promises of one service on one VM. */
export class Promises {
  readonly #byKey = new Map<number, RoomPromise>();
  #uncounted: RoomPromise[] = [];

  /** Records a promise. */
  add(promise: RoomPromise): void {
    this.#uncounted.push(promise);
    if (promise.key !== undefined) {
      this.#byKey.set(promise.key, promise);
    }
    if (this.#uncounted.length > MAX_PROMISES) {
      this.#uncounted.shift();
    }
  }

  /** What the request with this key was promised. A promise that is due is removed. */
  takeReturn(key: number | undefined, now: number): ReturnState {
    const promise = key === undefined ? undefined : this.#byKey.get(key);
    if (promise === undefined) {
      return { kind: "none" };
    }
    if (now < promise.dueAt - EARLY_TOLERANCE_MS) {
      return { kind: "early", dueAt: promise.dueAt };
    }
    this.#byKey.delete(promise.key!);
    return now <= promise.dueAt + LATE_TOLERANCE_MS
      ? { kind: "due" }
      : { kind: "none" };
  }

  /** Number of promises of a priority that have become due since the last call. */
  takeDue(priority: number, now: number): number {
    const isDue = (one: RoomPromise) =>
      one.priority === priority && one.dueAt <= now;
    const due = this.#uncounted.filter(isDue);
    if (due.length > 0) {
      this.#uncounted = this.#uncounted.filter((one) => !isDue(one));
      this.#forgetLate(now);
    }
    return due.length;
  }

  #forgetLate(now: number): void {
    for (const [key, { dueAt }] of this.#byKey) {
      if (now > dueAt + LATE_TOLERANCE_MS) {
        this.#byKey.delete(key);
      }
    }
  }
}
