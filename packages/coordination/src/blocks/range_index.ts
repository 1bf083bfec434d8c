/**
 * The look-up: nested prefixes laid out flat as ranges of addresses, found by
 * binary search within the 65,536 addresses that share their upper half.
 *
 * @module
 */

import { type BlockColumns, NO_SITE } from "./block_table.ts";

const HALVES = 65_536;

/** Ranges over all addresses, each with its site. */
export class RangeIndex {
  readonly #starts: Uint32Array;
  readonly #sites: Uint16Array;
  /** Number of ranges that start below each upper half. */
  readonly #below = new Uint32Array(HALVES + 1);

  constructor(columns: BlockColumns) {
    const ranges = flatten(columns);
    this.#starts = ranges.starts;
    this.#sites = ranges.sites;
    let range = 0;
    for (let half = 0; half <= HALVES; half++) {
      while (
        range < this.#starts.length && this.#starts[range]! < half * HALVES
      ) {
        range += 1;
      }
      this.#below[half] = range;
    }
  }

  get bytes(): number {
    return this.#starts.byteLength + this.#sites.byteLength +
      this.#below.byteLength;
  }

  /** The site of the last range that starts at or before the address. */
  siteOf(address: number): number {
    const half = address >>> 16;
    let low = this.#below[half]!;
    let high = this.#below[half + 1]!;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.#starts[middle]! <= address) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low === 0 ? NO_SITE : this.#sites[low - 1]!;
  }
}

interface Open {
  readonly end: number;
  readonly site: number;
}

/** Cuts nested prefixes into ranges that follow each other. */
function flatten(
  { starts, sites, lengths }: BlockColumns,
): { starts: Uint32Array; sites: Uint16Array } {
  const flat = new RangeWriter(2 * starts.length + 1);
  const open: Open[] = [];

  function closeUntil(address: number): void {
    while (open.length > 0 && open[open.length - 1]!.end <= address) {
      const { end } = open.pop()!;
      flat.write(end, open[open.length - 1]?.site ?? NO_SITE);
    }
  }

  for (let at = 0; at < starts.length; at++) {
    const start = starts[at]!;
    const site = sites[at]!;
    closeUntil(start);
    flat.write(start, site);
    open.push({ end: start + 2 ** (32 - lengths[at]!), site });
  }
  closeUntil(2 ** 32);
  return flat.finish();
}

/** Collects ranges; one that ends where it starts, or repeats the site before, leaves no trace. */
class RangeWriter {
  readonly #starts: Uint32Array;
  readonly #sites: Uint16Array;
  #size = 0;

  constructor(capacity: number) {
    this.#starts = new Uint32Array(capacity);
    this.#sites = new Uint16Array(capacity);
  }

  write(start: number, site: number): void {
    if (start >= 2 ** 32) {
      return;
    }
    if (this.#size > 0 && this.#starts[this.#size - 1] === start) {
      this.#size -= 1;
    }
    const before = this.#size > 0 ? this.#sites[this.#size - 1] : NO_SITE;
    if (before !== site) {
      this.#starts[this.#size] = start;
      this.#sites[this.#size] = site;
      this.#size += 1;
    }
  }

  finish(): { starts: Uint32Array; sites: Uint16Array } {
    return {
      starts: this.#starts.slice(0, this.#size),
      sites: this.#sites.slice(0, this.#size),
    };
  }
}
