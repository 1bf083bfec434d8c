/**
 * A log that nobody reads, for tests and emulations.
 *
 * @module
 */

import type { Log } from "./log.ts";

/** Drops every line. */
export const SILENT_LOG: Log = {
  error: () => undefined,
  warn: () => undefined,
  info: () => undefined,
  debug: () => undefined,
  debugs: false,
  dropped: 0,
};
