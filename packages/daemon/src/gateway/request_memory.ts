/**
 * The memory that open requests may take, without their bodies.
 *
 * @module
 */

import { getHeapStatistics } from "node:v8";

/** Share of the VM's memory, and of V8's heap, for open requests. */
const REQUESTS_SHARE = 0.05;

/** Memory for the open requests of a VM with `memoryBytes`; they are objects of V8's heap, which may be smaller. */
export function requestBytesFor(memoryBytes: number): number {
  const { heap_size_limit } = getHeapStatistics();
  return REQUESTS_SHARE * Math.min(memoryBytes, heap_size_limit);
}
