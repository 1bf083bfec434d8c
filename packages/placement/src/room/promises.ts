/**
 * The return times that this VM has given to refused requests.
 *
 * A request that returns in its time is admitted before new ones. One that comes
 * earlier goes behind them: otherwise callers that repeat at once would get the room
 * of those that wait as they were told.
 *
 * @module
 */

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
/** Bounds of the memory used; the oldest ones are forgotten first. */
const MAX_PROMISES = 1_000;
const MAX_KEPT = 200;

/** The promises of one service on one VM, by the keys of the refused requests. */
export class Promises {
  /** When each request has room, the latest promise last. */
  readonly #dueAt = new Map<number, number>();
  /** Requests that have returned in their time, the latest last. */
  readonly #kept = new Set<number>();

  /** Records a promise of room from `dueAt` on. */
  add(key: number, dueAt: number): void {
    this.#dueAt.delete(key);
    this.#dueAt.set(key, dueAt);
    dropOldest(this.#dueAt, MAX_PROMISES);
  }

  /** What the request was promised. A promise that is due is removed. */
  takeReturn(key: number | undefined, now: number): ReturnState {
    const dueAt = key === undefined ? undefined : this.#dueAt.get(key);
    if (dueAt === undefined) {
      return { kind: "none" };
    }
    if (now < dueAt - EARLY_TOLERANCE_MS) {
      return { kind: "early", dueAt };
    }
    this.#dueAt.delete(key!);
    if (now > dueAt + LATE_TOLERANCE_MS) {
      return { kind: "none" };
    }
    this.#kept.add(key!);
    dropOldest(this.#kept, MAX_KEPT);
    return { kind: "due" };
  }

  /** Whether the request has returned in its time; false when asked again. */
  forgetKept(key: number | undefined): boolean {
    return key !== undefined && this.#kept.delete(key);
  }
}

function dropOldest(
  keys: Map<number, unknown> | Set<number>,
  max: number,
): void {
  if (keys.size > max) {
    const [oldest] = keys.keys();
    keys.delete(oldest!);
  }
}
