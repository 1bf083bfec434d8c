/**
 * The parts of a gateway that follow the platform's store, for tests that leave out the
 * rest.
 *
 * @module
 */

export { PlatformFeed } from "./platform_feed.ts";
export { RelayListener } from "./relay.ts";
export type { StoreVersion } from "./row_copy.ts";
