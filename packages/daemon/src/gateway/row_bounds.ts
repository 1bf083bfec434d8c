/**
 * How large the rows of a subject may be: what has no end must not fill the memory.
 *
 * @module
 */

import { JsonCallError } from "../json_exchange.ts";
import type { StoredRow } from "./ports.ts";

/** Largest size of all rows of a subject: twice that of 3,000 VMs or 10,000 targets. */
export const MAX_ROWS_BYTES = 16_777_216;
/** What a row takes besides its key and its value. */
const ROW_OVERHEAD_BYTES = 200;

/** The rows of a subject are larger than any sound ones. */
export class RowsTooLargeError extends JsonCallError {
  constructor() {
    super("the rows are too large");
  }
}

/** Size of rows in memory. */
export function sizeOf(rows: Iterable<StoredRow>): number {
  let bytes = 0;
  for (const { key, value } of rows) {
    bytes += ROW_OVERHEAD_BYTES + key.length + (value?.length ?? 0);
  }
  return bytes;
}
