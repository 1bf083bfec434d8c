/**
 * The look-up index: nested prefixes flattened to ranges of addresses. A look-up
 * is a binary search among the ranges with the same upper 16 bits.
 *
 * @module
 */

import { type BlockColumns, NO_SITE } from "./block_table.ts";

/** Number of upper halves of an address, and of addresses that share one. */
const HALVES = 65_536;

/** Ranges that cover all addresses, each with its site. */
export class RangeIndex {
  readonly #starts: Uint32Array;
  readonly #sites: Uint16Array;
  /** Number of ranges that start before the first address of each upper half. */
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

/** Number of addresses of a prefix, by its length. */
const SPAN = Float64Array.from(
  { length: 33 },
  (_, length) => 2 ** (32 - length),
);

interface Ranges {
  readonly starts: Uint32Array;
  readonly sites: Uint16Array;
}

/**
 * Flattens nested prefixes to consecutive ranges. It processes every block at each
 * change of the table while callers wait, so it allocates no objects per block.
 */
function flatten({ starts, sites, lengths }: BlockColumns): Ranges {
  const writer = new RangeWriter(2 * starts.length + 1);
  // The prefixes that contain the current address, widest first: at most one per length.
  const openEnds = new Float64Array(SPAN.length);
  const openSites = new Uint16Array(SPAN.length);
  let open = 0;
  for (let at = 0; at < starts.length; at++) {
    const start = starts[at]!;
    while (open > 0 && openEnds[open - 1]! <= start) {
      open -= 1;
      const outer = open > 0 ? openSites[open - 1]! : NO_SITE;
      writer.write(openEnds[open]!, outer);
    }
    writer.write(start, sites[at]!);
    openEnds[open] = start + SPAN[lengths[at]!]!;
    openSites[open] = sites[at]!;
    open += 1;
  }
  while (open > 0) {
    open -= 1;
    const outer = open > 0 ? openSites[open - 1]! : NO_SITE;
    writer.write(openEnds[open]!, outer);
  }
  return writer.finish();
}

/** Collects ranges, leaving out empty ones and merging those with the same site as the range before. */
class RangeWriter {
  readonly #starts: Uint32Array;
  readonly #sites: Uint16Array;
  #size = 0;

  constructor(capacity: number) {
    this.#starts = new Uint32Array(capacity);
    this.#sites = new Uint16Array(capacity);
  }

  write(start: number, site: number): void {
    if (start > 0xffffffff) {
      return;
    }
    let size = this.#size;
    if (size > 0 && this.#starts[size - 1] === start) {
      size -= 1;
    }
    const before = size > 0 ? this.#sites[size - 1] : NO_SITE;
    if (before !== site) {
      this.#starts[size] = start;
      this.#sites[size] = site;
      size += 1;
    }
    this.#size = size;
  }

  finish(): Ranges {
    return {
      starts: this.#starts.slice(0, this.#size),
      sites: this.#sites.slice(0, this.#size),
    };
  }
}
