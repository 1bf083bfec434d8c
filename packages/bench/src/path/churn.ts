/**
 * Memory of the daemon while connections come and go.
 *
 * @module
 */

import { LOOKUP_PATH } from "@poplarthread/standins";
import type { Server, System } from "./system.ts";
import { residentMegabytes } from "./usage.ts";

const SAMPLE_MS = 1_000;
const PER_SECOND = 500;
const CONNECTIONS = 64;
/** Growth that counts as none: the heap grows and shrinks by as much between collections. */
const GROWTH_BOUND_MB = 10;

/** Resident memory over the churn, in megabytes. */
export interface Churn {
  readonly seconds: number;
  readonly requests: number;
  readonly failed: number;
  /** Least in the second and in the last quarter; the first quarter warms up. */
  readonly secondQuarterMb: number;
  readonly lastQuarterMb: number;
  readonly mostMb: number;
  readonly hasGrown: boolean;
}

/** Requests and look-ups, each on a connection of its own, while memory is sampled. */
export async function measureChurn(
  system: System,
  daemon: Server,
  seconds: number,
): Promise<Churn> {
  const samples: number[] = [];
  const timer = setInterval(() => {
    samples.push(residentMegabytes(daemon.pid));
  }, SAMPLE_MS);
  const load = {
    url: daemon.url,
    seconds,
    connections: CONNECTIONS,
    perSecond: PER_SECOND / 2,
    churn: true,
  };
  const results = await Promise.all([
    system.load({ ...load, path: "/page" }),
    system.load({ ...load, path: LOOKUP_PATH }),
  ]);
  clearInterval(timer);
  const quarter = Math.floor(samples.length / 4);
  const second = Math.min(...samples.slice(quarter, 2 * quarter));
  const last = Math.min(...samples.slice(3 * quarter));
  return {
    seconds,
    requests: results.reduce((sum, { requests }) => sum + requests, 0),
    failed: results.reduce((sum, { failed }) => sum + failed, 0),
    secondQuarterMb: second,
    lastQuarterMb: last,
    mostMb: Math.max(...samples),
    hasGrown: last - second > GROWTH_BOUND_MB,
  };
}
