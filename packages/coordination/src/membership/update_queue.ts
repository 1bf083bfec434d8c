/**
 * Updates queued for piggybacking on messages.
 *
 * @module
 */

/**
 * Items of about 235 bytes each. A member sends two heartbeats a second, so that
 * even when the entire fleet starts at once, it stays below 2 KB a second; with
 * six items it sent 2.8 KB a second for minutes.
 */
const MAX_ITEMS_PER_HEARTBEAT = 3;

/** Further urgent items are sent in the next tick. */
const MAX_ITEMS_PER_PUSH = 16;

/**
 * An item is sent this many times the logarithm of the number of members. With a
 * factor of one, the epidemic dies out before it has reached every member; three
 * leaves few unreached, which then learn the item by comparing views.
 */
const SENDS_FACTOR = 3;

/** Identifies an item: a member or a fact. Its current content is looked up on sending. */
export type UpdateKey = `member ${string}` | `fact ${string}`;

/** The update queue of one member. */
export class UpdateQueue {
  readonly #sendCounts = new Map<UpdateKey, number>();
  readonly #urgent = new Set<UpdateKey>();

  /** Queues an item whose content has changed; its send count restarts at 0. */
  add(key: UpdateKey, options: { urgent: boolean }): void {
    this.#sendCounts.set(key, 0);
    if (options.urgent) {
      this.#urgent.add(key);
    }
  }

  /** Takes the items that were sent least often and counts them as sent. */
  takeForHeartbeat(members: number): readonly UpdateKey[] {
    if (this.#sendCounts.size === 0) {
      return [];
    }
    const taken = [...this.#sendCounts.entries()]
      .sort(([, a], [, b]) => a - b)
      .slice(0, MAX_ITEMS_PER_HEARTBEAT);
    const limit = SENDS_FACTOR * Math.ceil(Math.log2(members + 1));
    for (const [key, sends] of taken) {
      if (sends + 1 >= limit) {
        this.#sendCounts.delete(key);
      } else {
        this.#sendCounts.set(key, sends + 1);
      }
    }
    return taken.map(([key]) => key);
  }

  /** Takes urgent items that have not been pushed yet. */
  takeUrgent(): readonly UpdateKey[] {
    const taken = [...this.#urgent].slice(0, MAX_ITEMS_PER_PUSH);
    taken.forEach((key) => this.#urgent.delete(key));
    return taken;
  }
}
