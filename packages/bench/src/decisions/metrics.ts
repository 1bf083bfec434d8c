/**
 * What callers get, counted on their side.
 *
 * @module
 */

import { build, type Histogram } from "hdr-histogram-js";

/** Histograms count tenths of a millisecond up to two minutes. */
const PER_MS = 10;
const MOST_MS = 120_000;
/** Width of the windows for plots over time and for recovery. */
export const WINDOW_MS = 250;

/** Figures of one class, or of one kind of caller. */
export class Tally {
  offered = 0;
  served = 0;
  refused = 0;
  unknown = 0;
  /** Answered in time within the counted span, whenever they were sent. */
  goodput = 0;
  readonly #latency: Histogram = build({
    highestTrackableValue: MOST_MS * PER_MS,
    numberOfSignificantValueDigits: 3,
  });

  record(ms: number): void {
    this.served++;
    this.#latency.recordValue(Math.min(MOST_MS, ms) * PER_MS);
  }

  /** Latency in ms that `percent` of the served stay under. */
  quantile(percent: number): number {
    if (this.served === 0) return Number.NaN;
    return this.#latency.getValueAtPercentile(percent) / PER_MS;
  }
}

/** What became of requests that were sent within one window. */
export interface Window {
  offered: number;
  served: number;
  refused: number;
  readonly latencies: number[];
}

/** Counts of one run, by class and by tag, and over time. */
export class Metrics {
  readonly all = new Tally();
  readonly byClass = new Map<string, Tally>();
  readonly byTag = new Map<string, Tally>();
  readonly windows: Window[] = [];
  /** Attempts sent to targets. */
  attempts = 0;
  /** Messages between entry VMs. */
  messages = 0;
  /** Most requests at work in a region above its slots. */
  mostOverRegion = 0;
  /** Planned stops that cut a request. */
  cut = 0;

  /** Tallies that a request counts in. */
  tallies(cls: string, tag: string | undefined): Tally[] {
    const list = [this.all, tallyOf(this.byClass, cls)];
    if (tag !== undefined) list.push(tallyOf(this.byTag, tag));
    return list;
  }

  window(at: number): Window {
    const index = Math.floor(at / WINDOW_MS);
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

/** Quantile of a plain list, in the list's unit; NaN for an empty one. */
export function quantileOf(values: readonly number[], percent: number): number {
  if (values.length === 0) return Number.NaN;
  const sorted = [...values].sort((a, b) => a - b);
  const at = Math.ceil(sorted.length * percent / 100) - 1;
  return sorted[Math.max(0, at)]!;
}
