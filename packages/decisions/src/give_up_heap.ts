/**
 * Waiting requests by the time at which their wait ends.
 *
 * @module
 */

import type { RequestState } from "./request_state.ts";

/** Binary heap. Requests that got a slot stay in until they come to the top:
 * taking them out early would cost more than passing over them. */
export class GiveUpHeap {
  #items: RequestState[] = [];

  push(req: RequestState): void {
    const items = this.#items;
    let at = items.length;
    items.push(req);
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (items[parent]!.giveUpAt <= req.giveUpAt) break;
      items[at] = items[parent]!;
      at = parent;
    }
    items[at] = req;
  }

  /** The request whose wait ends first. */
  peek(): RequestState | undefined {
    while (this.#items.length > 0 && this.#items[0]!.queue === undefined) {
      this.#pop();
    }
    return this.#items[0];
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
      if (
        right < items.length &&
        items[right]!.giveUpAt < items[child]!.giveUpAt
      ) child = right;
      if (items[child]!.giveUpAt >= last.giveUpAt) break;
      items[at] = items[child]!;
      at = child;
    }
    items[at] = last;
  }
}
