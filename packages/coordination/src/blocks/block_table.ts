/**
 * Which site serves a block of clients: a table of IPv4 prefixes, held in typed
 * arrays so that 410,000 blocks cost a few megabytes and no object each.
 *
 * A table is never changed in place. A delta makes the next table, and a
 * look-up sees one or the other.
 *
 * @module
 */

import { RangeIndex } from "./range_index.ts";

/** Site of an address that no block holds; no site may have this number. */
export const NO_SITE = 0xffff;

/** A block of clients: an IPv4 prefix and the number of the site that serves it. */
export interface Block {
  /** First address, as an unsigned 32-bit number. */
  readonly start: number;
  /** Bits of the prefix, 0 to 32. */
  readonly length: number;
  readonly site: number;
}

/** The blocks in three columns, sorted by start, then by length. */
export interface BlockColumns {
  readonly starts: Uint32Array<ArrayBuffer>;
  readonly sites: Uint16Array<ArrayBuffer>;
  readonly lengths: Uint8Array<ArrayBuffer>;
}

/** Site by number, where another serves in its place. */
export type Redirects = ReadonlyMap<number, number>;

/** One revision of the table. */
export class BlockTable {
  readonly revision: number;
  readonly columns: BlockColumns;
  /**
   * All blocks of a site served by another at once: moving a site's clients
   * costs four bytes instead of seven for each of its blocks.
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
    // A change of redirects alone leaves the blocks, and so their index.
    this.#index = before?.columns === columns
      ? before.#index
      : new RangeIndex(columns);
  }

  /** A table of the given blocks, in any order; of two for one prefix the later counts. */
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

  /** Bytes of the table and of its index. */
  get bytes(): number {
    const { starts, sites, lengths } = this.columns;
    return starts.byteLength + sites.byteLength + lengths.byteLength +
      this.#index.bytes;
  }

  /** The site for an address: the longest prefix that holds it decides. */
  siteOf(address: number): number {
    const site = this.#index.siteOf(address);
    return this.redirects.get(site) ?? site;
  }

  block(at: number): Block {
    const { starts, sites, lengths } = this.columns;
    return { start: starts[at]!, length: lengths[at]!, site: sites[at]! };
  }
}

/** Order of blocks: by start, the wider of two first. Exact in a double. */
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

/** Sets one line of the columns. */
export function setBlock(
  columns: BlockColumns,
  at: number,
  { start, length, site }: Block,
): void {
  columns.starts[at] = start;
  columns.sites[at] = site;
  columns.lengths[at] = length;
}
