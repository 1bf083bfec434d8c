/**
 * News that waits to ride on messages.
 *
 * @module
 */

/**
 * At most this many items ride on one heartbeat, of some 235 bytes each. A
 * member sends two heartbeats a second, so that also a fleet of which all start
 * at once stays below 2 KB a second; with six it sent 2.8 KB for minutes.
 */
const ITEMS_PER_HEARTBEAT = 3;

/** At most this many urgent items go out at once; the rest follow with the next tick. */
const ITEMS_PER_PUSH = 16;

/**
 * An item rides this many times the logarithm of the members: with one, an
 * epidemic dies out before it has reached everyone; three leave few unreached,
 * and those find out by comparing views.
 */
const RIDES_FACTOR = 3;

/** Names an item: a member or a fact. The newest content is looked up when it is sent. */
export type NewsKey = `member ${string}` | `fact ${string}`;

/** The queue of one member. */
export class NewsQueue {
  readonly #rides = new Map<NewsKey, number>();
  readonly #urgent = new Set<NewsKey>();

  /** Queues an item anew: what it says has changed. */
  add(key: NewsKey, options: { urgent: boolean }): void {
    this.#rides.set(key, 0);
    if (options.urgent) {
      this.#urgent.add(key);
    }
  }

  /** The items that have ridden least, each counted as ridden once more. */
  takeForHeartbeat(members: number): readonly NewsKey[] {
    if (this.#rides.size === 0) {
      return [];
    }
    const taken = [...this.#rides.entries()]
      .sort(([, a], [, b]) => a - b)
      .slice(0, ITEMS_PER_HEARTBEAT);
    const limit = RIDES_FACTOR * Math.ceil(Math.log2(members + 1));
    for (const [key, rides] of taken) {
      if (rides + 1 >= limit) {
        this.#rides.delete(key);
      } else {
        this.#rides.set(key, rides + 1);
      }
    }
    return taken.map(([key]) => key);
  }

  /** Urgent items that have not been pushed yet. */
  takeUrgent(): readonly NewsKey[] {
    const taken = [...this.#urgent].slice(0, ITEMS_PER_PUSH);
    taken.forEach((key) => this.#urgent.delete(key));
    return taken;
  }
}
