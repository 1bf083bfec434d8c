/**
 * Processor time and memory of a process, from `/proc`.
 *
 * @module
 */

import { readFileSync } from "node:fs";

/** Ticks a second in which Linux counts processor time. */
const TICKS_PER_SECOND = 100;
const BYTES_PER_KB = 1_024;

/** Processor time of a process so far, in seconds. */
export function processorSeconds(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  // The name, in brackets, may hold spaces; what follows does not.
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const user = Number(fields[11]);
  const system = Number(fields[12]);
  return (user + system) / TICKS_PER_SECOND;
}

/** Resident memory of a process, in megabytes. */
export function residentMegabytes(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const kilobytes = Number(/VmRSS:\s+(\d+)/.exec(status)![1]);
  return kilobytes * BYTES_PER_KB / 1_000_000;
}
