/**
 * Staleness bound for a process's copy of a shared table.
 *
 * @module
 */

export {
  type FreshnessWord,
  freshnessWord,
  isReliable,
  knownSinceReading,
  knownSinceWord,
  newest,
  type Question,
  type Reading,
} from "./freshness.ts";
