/**
 * Staleness bound for a process's copy of a shared table.
 *
 * @module
 */

export {
  type FreshnessReport,
  freshnessReport,
  isReliable,
  knownSinceRead,
  knownSinceReport,
  laterKnownSince,
  type RequestTimes,
  type TableRead,
} from "./freshness.ts";
