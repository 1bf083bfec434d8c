/**
 * Outcomes and latencies as callers see them.
 *
 * @module
 */

import { build, type Histogram } from "hdr-histogram-js";

/** Histogram units per millisecond: a resolution of 0.1 ms. */
const UNITS_PER_MS = 10;
/** Highest recorded latency; longer ones are recorded as this value. */
const MAX_LATENCY_MS = 120_000;
/** Width of the time windows used for plots over time and recovery times. */
export const WINDOW_MS = 250;

/** Request counts and latencies of one class or tag. */
export class Tally {
  offered = 0;
  served = 0;
  refused = 0;
  unknown = 0;
  /** Requests served in time whose outcome came in the counted period, whenever
   * they were sent. */
  goodput = 0;
  readonly #latency: Histogram = build({
    highestTrackableValue: MAX_LATENCY_MS * UNITS_PER_MS,
    numberOfSignificantValueDigits: 3,
  });

  record(ms: number): void {
    this.served++;
    this.#latency.recordValue(Math.min(MAX_LATENCY_MS, ms) * UNITS_PER_MS);
  }

  /** Latency percentile of the served requests, in ms. */
  percentile(percent: number): number {
    if (this.served === 0) return Number.NaN;
    return this.#latency.getValueAtPercentile(percent) / UNITS_PER_MS;
  }
}

/** Outcomes of the requests sent within one time window. */
export interface TimeWindow {
  offered: number;
  served: number;
  refused: number;
  readonly latencies: number[];
}

/** Counts of one run: overall, by class, by tag and over time. */
export class Metrics {
  readonly all = new Tally();
  readonly byClass = new Map<string, Tally>();
  readonly byTag = new Map<string, Tally>();
  readonly windows: TimeWindow[] = [];
  /** Attempts sent to targets. */
  attempts = 0;
  /** Messages between entry VMs. */
  messages = 0;
  /** Highest number of requests at a service's targets in a region beyond their
   * slots. */
  maxOverRegion = 0;
  /** Requests cut off by planned stops. */
  cutRequests = 0;

  /** Tallies that a request of this class and tag is counted in. */
  tallies(cls: string, tag: string | undefined): Tally[] {
    const list = [this.all, tallyOf(this.byClass, cls)];
    if (tag !== undefined) list.push(tallyOf(this.byTag, tag));
    return list;
  }

  window(time: number): TimeWindow {
    const index = Math.floor(time / WINDOW_MS);
    while (this.windows.length <= index) {
      this.windows.push({ offered: 0, served: 0, refused: 0, latencies: [] });
    }
    return this.windows[index]!;
  }
}

function tallyOf(map: Map<string, Tally>, name: string): Tally {
  let tally = map.get(name);
  if (tally === undefined) {
    tally = new Tally();
    map.set(name, tally);
  }
  return tally;
}

/** Percentile of a list of values, in the list's unit; NaN if it is empty. */
export function percentileOf(
  values: readonly number[],
  percent: number,
): number {
  if (values.length === 0) return Number.NaN;
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.ceil(sorted.length * percent / 100) - 1;
  return sorted[Math.max(0, index)]!;
}
