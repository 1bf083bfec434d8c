/**
 * Queue of requests that wait on this VM for capacity at a target.
 *
 * Under overload there are more requests than slots. If they were all sent on at
 * once, they would fill the targets' own queues, in which urgent requests wait
 * behind all others and which refuse requests when full: purchases would fail while
 * reads succeed. In this queue the most urgent request goes first, and within one
 * priority those that can still meet their latency objective go before late ones.
 *
 * Among requests equal in both, client accounts are served by start-time fair
 * queueing. In order of arrival, an account that sends many times its usual load
 * would get nearly all capacity, and the few requests of other accounts would wait
 * behind it. Requests of one account are served in order of arrival.
 *
 * @module
 */

import type { AccountId } from "@poplarthread/ids";

/** A request that waits. */
export interface QueuedRequest {
  /** Priority rank of its route; 0 is the most urgent. */
  readonly priority: number;
  /** When its latency objective expires, in milliseconds of the monotonic clock. */
  readonly objectiveAt: number;
  /**
   * The client account that it belongs to; requests without one count as one
   * account.
   */
  readonly account: AccountId | undefined;
}

interface QueuedItem<T> {
  readonly request: T;
  /** Start tag of start-time fair queueing; the lowest one goes first. */
  readonly startTag: number;
}

/** Priority queue of one service's requests with fair queueing among accounts. */
export class WaitQueue<T extends QueuedRequest> {
  readonly #items: QueuedItem<T>[] = [];
  /** The last start tag given to each account since the queue was last empty. */
  readonly #lastTags = new Map<AccountId | undefined, number>();

  get size(): number {
    return this.#items.length;
  }

  /** Number of queued requests that go before a new one of `priority`, of those that `counts` names. */
  countAhead(priority: number, counts: (request: T) => boolean): number {
    let count = 0;
    for (const { request } of this.#items) {
      count += request.priority <= priority && counts(request) ? 1 : 0;
    }
    return count;
  }

  add(request: T): void {
    const last = this.#lastTags.get(request.account) ?? 0;
    const startTag = Math.max(this.#minStartTag(), last) + 1;
    this.#lastTags.set(request.account, startTag);
    this.#items.push({ request, startTag });
  }

  remove(request: T): void {
    const index = this.#items.findIndex((item) => item.request === request);
    if (index >= 0) {
      this.#items.splice(index, 1);
    }
    if (this.#items.length === 0) {
      this.#lastTags.clear();
    }
  }

  /** All queued requests in the order in which they should be sent at `now`. */
  inOrder(now: number): readonly T[] {
    return this.#items.toSorted((a, b) =>
      a.request.priority - b.request.priority ||
      Number(a.request.objectiveAt < now) -
        Number(b.request.objectiveAt < now) ||
      a.startTag - b.startTag
    ).map(({ request }) => request);
  }

  /**
   * The lowest start tag in the queue. New requests get a higher one, whatever
   * their account.
   */
  #minStartTag(): number {
    let min = Infinity;
    for (const { startTag } of this.#items) {
      min = Math.min(min, startTag);
    }
    return Number.isFinite(min) ? min : 0;
  }
}
