/**
 * Estimates how much memory the process needs besides the responses it holds.
 *
 * @module
 */

import process from "node:process";
import { getHeapStatistics } from "node:v8";

/**
 * The resident size at the start plus the growth of the JavaScript heap. The resident
 * size itself would not do: it contains the responses, and stays high after they are
 * gone, although the allocator uses that memory again.
 */
export class ResidentMemory {
  readonly #outsideHeapBytes = process.memoryUsage.rss() - heapBytes();

  /** The current estimate in bytes. */
  read(): number {
    return this.#outsideHeapBytes + heapBytes();
  }
}

function heapBytes(): number {
  return getHeapStatistics().total_heap_size;
}
