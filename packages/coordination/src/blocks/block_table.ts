/**
 * Maps client blocks (IPv4 prefixes) to the sites that serve them. The table uses
 * typed arrays, so that 410,000 blocks take a few megabytes and no object each.
 *
 * A table is immutable. A delta creates the next table, and a look-up sees either
 * the old or the new one.
 *
 * @module
 */

import { RangeIndex } from "./range_index.ts";

/** Result for an address in no block; no site may have this number. */
export const NO_SITE = 0xffff;

/** A client block: an IPv4 prefix and the number of the site that serves it. */
export interface Block {
  /** First address, as an unsigned 32-bit number. */
  readonly start: number;
  /** Prefix length in bits, 0 to 32. */
  readonly length: number;
  readonly site: number;
}

/** The blocks as three columns, sorted by start, then by length. */
export interface BlockColumns {
  readonly starts: Uint32Array<ArrayBuffer>;
  readonly sites: Uint16Array<ArrayBuffer>;
  readonly lengths: Uint8Array<ArrayBuffer>;
}

/** Replacement sites, by the number of the site that they replace. */
export type Redirects = ReadonlyMap<number, number>;

/** One revision of the table. */
export class BlockTable {
  readonly revision: number;
  readonly columns: BlockColumns;
  /**
   * Redirects all blocks of a site to another. Moving a site's clients this way
   * takes four bytes instead of seven for each of its blocks.
   */
  readonly redirects: Redirects;
  readonly #index: RangeIndex;

  constructor(
    columns: BlockColumns,
    options: { revision: number; redirects: Redirects; before?: BlockTable },
  ) {
    const { revision, redirects, before } = options;
    this.columns = columns;
    this.revision = revision;
    this.redirects = redirects;
    // If only redirects change, the blocks and so their index stay the same.
    this.#index = before?.columns === columns
      ? before.#index
      : new RangeIndex(columns);
  }

  /** Creates a table of blocks in any order; of two with the same prefix the later one is used. */
  static of(blocks: readonly Block[], revision: number): BlockTable {
    const byKey = new Map(blocks.map((block) => [keyOf(block), block]));
    const sorted = [...byKey.values()].sort((a, b) => keyOf(a) - keyOf(b));
    const columns = newColumns(sorted.length);
    sorted.forEach((block, at) => setBlock(columns, at, block));
    return new BlockTable(columns, { revision, redirects: new Map() });
  }

  /** Number of blocks. */
  get size(): number {
    return this.columns.starts.length;
  }

  /** Size of the table and its index in bytes. */
  get bytes(): number {
    const { starts, sites, lengths } = this.columns;
    return starts.byteLength + sites.byteLength + lengths.byteLength +
      this.#index.bytes;
  }

  /** The site for an address, by the longest prefix that contains it. */
  siteOf(address: number): number {
    const site = this.#index.siteOf(address);
    return this.redirects.get(site) ?? site;
  }

  block(at: number): Block {
    const { starts, sites, lengths } = this.columns;
    return { start: starts[at]!, length: lengths[at]!, site: sites[at]! };
  }
}

/** Sort key of a block: by start, then the wider prefix first. Exact in a double. */
export function keyOf(block: Pick<Block, "start" | "length">): number {
  return block.start * 64 + block.length;
}

/** Empty columns for `size` blocks. */
export function newColumns(size: number): BlockColumns {
  return {
    starts: new Uint32Array(size),
    sites: new Uint16Array(size),
    lengths: new Uint8Array(size),
  };
}

/** Sets one row of the columns. */
export function setBlock(
  columns: BlockColumns,
  at: number,
  { start, length, site }: Block,
): void {
  columns.starts[at] = start;
  columns.sites[at] = site;
  columns.lengths[at] = length;
}
