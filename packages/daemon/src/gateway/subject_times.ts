/**
 * How long calls for changes wait, and when rows count as stale.
 *
 * @module
 */

import type { WatchedSubject } from "./ports.ts";

/**
 * How long one call waits for a change. Each response also confirms that no change was
 * missed, so the wait must stay well below the bounds of 2.5 s and more within which
 * changes must arrive. VMs also find each other by heartbeats, so their rows may be
 * later.
 */
export const CHANGE_WAIT_MS: Readonly<Record<WatchedSubject, number>> = {
  operator: 1_000,
  targets: 1_000,
  members: 5_000,
};
/** Rows are stale when their last confirmation is older than a call's wait plus this: twice the slowest response of a slow store. */
export const STALE_MARGIN_MS = 500;
/**
 * A VM whose rows are stale, but which may be about to read the store, holds requests
 * of other VMs for this long: a round trip to a store in another region and some more.
 * With an immediate response, all of them would call the store together.
 */
export const PENDING_READ_WAIT_MS = 300;
/**
 * How long a VM waits for a change that peers have named before it asks a second source:
 * several round trips, since a large change takes as many from another region. VMs also
 * find each other by heartbeats.
 */
export const PEER_NEWS_PATIENCE_MS: Readonly<Record<WatchedSubject, number>> = {
  operator: 700,
  targets: 700,
  members: 2_000,
};
/** How much longer than a call's wait it waits for a confirmation before that: more than a slow store in another region takes. */
export const UNCONFIRMED_MARGIN_MS = 400;
/** Pause after a change, so that changes that come together cost one call: VMs that start together register within some hundred milliseconds. */
export const CHANGE_BATCH_MS = 150;
