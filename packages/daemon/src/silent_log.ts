/**
 * A log without output, for tests and emulations.
 *
 * @module
 */

import type { Log } from "./log.ts";

/** Discards every line. */
export const SILENT_LOG: Log = {
  error: () => undefined,
  warn: () => undefined,
  info: () => undefined,
  debug: () => undefined,
  isDebugEnabled: false,
  droppedLines: 0,
  beginEnd: () => undefined,
};
