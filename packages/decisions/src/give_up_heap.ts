/**
 * Waiting requests by the time at which their wait ends.
 *
 * @module
 */

import type { RequestState } from "./request_state.ts";

interface Entry {
  readonly req: RequestState;
  /** The request's `giveUpAt` when it was queued. A request that is queued again
   * gets a second entry; changed in place, its first would break the order. */
  readonly at: number;
}

/** Binary heap. Entries of requests that got a slot stay in until they come to
 * the top: taking them out early would cost more than passing over them. */
export class GiveUpHeap {
  #items: Entry[] = [];

  push(req: RequestState): void {
    const items = this.#items;
    const entry = { req, at: req.giveUpAt };
    let at = items.length;
    items.push(entry);
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (items[parent]!.at <= entry.at) break;
      items[at] = items[parent]!;
      at = parent;
    }
    items[at] = entry;
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
    let at = 0;
    for (;;) {
      let child = 2 * at + 1;
      if (child >= items.length) break;
      const right = child + 1;
      if (right < items.length && items[right]!.at < items[child]!.at) {
        child = right;
      }
      if (items[child]!.at >= last.at) break;
      items[at] = items[child]!;
      at = child;
    }
    items[at] = last;
  }
}

function isCurrent({ req, at }: Entry): boolean {
  return req.queue !== undefined && req.giveUpAt === at;
}
