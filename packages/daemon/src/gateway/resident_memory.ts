/**
 * Estimates how much memory the process needs besides the responses it holds.
 *
 * @module
 */

import process from "node:process";
import { getHeapStatistics } from "node:v8";
import { messageOf } from "../errors.ts";
import type { EventLog } from "./events.ts";

/** Code, stacks and buffers of a process whose resident size cannot be read. */
const USUAL_OUTSIDE_HEAP_BYTES = 64_000_000;

/**
 * The resident size at the start plus the growth of the JavaScript heap. The resident
 * size itself would not do: it contains the responses, and stays high after they are
 * gone, although the allocator uses that memory again.
 */
export class ResidentMemory {
  readonly #outsideHeapBytes: number;

  constructor(log: EventLog) {
    this.#outsideHeapBytes = outsideHeapBytes(log);
  }

  /** The current estimate in bytes. */
  read(): number {
    return this.#outsideHeapBytes + heapBytes();
  }
}

function outsideHeapBytes(log: EventLog): number {
  try {
    return process.memoryUsage.rss() - heapBytes();
  } catch (err) {
    log.write("memory not read", { reason: messageOf(err) });
    return USUAL_OUTSIDE_HEAP_BYTES;
  }
}

function heapBytes(): number {
  return getHeapStatistics().total_heap_size;
}
