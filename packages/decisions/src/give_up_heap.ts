/**
 * Waiting requests ordered by the time at which their wait ends.
 *
 * @module
 */

import type { RequestState } from "./request_state.ts";

interface Entry {
  readonly req: RequestState;
  /** The request's `giveUpAt` when it was queued. A request that is queued
   * again gets a second entry, since changing the first in place would break
   * the heap order. */
  readonly at: number;
}

/** Binary heap. Entries of requests that got a slot remain until they reach the
 * top: removing them earlier would cost more than skipping them. */
export class GiveUpHeap {
  #items: Entry[] = [];

  push(req: RequestState): void {
    const items = this.#items;
    const entry = { req, at: req.giveUpAt };
    let index = items.length;
    items.push(entry);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (items[parent]!.at <= entry.at) break;
      items[index] = items[parent]!;
      index = parent;
    }
    items[index] = entry;
  }

  /** The request whose wait ends first. */
  peek(): RequestState | undefined {
    while (this.#items.length > 0 && !isCurrent(this.#items[0]!)) this.#pop();
    return this.#items[0]?.req;
  }

  #pop(): void {
    const items = this.#items;
    const last = items.pop()!;
    if (items.length === 0) return;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= items.length) break;
      const right = child + 1;
      if (right < items.length && items[right]!.at < items[child]!.at) {
        child = right;
      }
      if (items[child]!.at >= last.at) break;
      items[index] = items[child]!;
      index = child;
    }
    items[index] = last;
  }
}

function isCurrent({ req, at }: Entry): boolean {
  return req.queue !== undefined && req.giveUpAt === at;
}
