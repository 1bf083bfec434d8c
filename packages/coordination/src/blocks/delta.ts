/**
 * Changes between two consecutive revisions of the block table.
 *
 * @module
 */

import {
  type Block,
  BlockTable,
  keyOf,
  newColumns,
  setBlock,
} from "./block_table.ts";

/** A delta does not apply to the table, or encoded bytes are invalid. */
export class BlocksError extends Error {
  override readonly name = "BlocksError";
}

/** The changes from one revision to the next. */
export interface BlockDelta {
  readonly from: number;
  readonly revision: number;
  /** Blocks that are added or moved to another site, in any order. */
  readonly upserts: readonly Block[];
  readonly removals: readonly Pick<Block, "start" | "length">[];
  /** Redirects to set; an entry from a site to itself removes its redirect. */
  readonly redirects: readonly { readonly site: number; readonly to: number }[];
}

/** An insertion, replacement or removal of one block. */
interface Edit {
  readonly key: number;
  /** Undefined removes the block. */
  readonly block: Block | undefined;
}

/** Creates the next table. The given one is not modified, since look-ups may be using it. */
export function applyDelta(table: BlockTable, delta: BlockDelta): BlockTable {
  if (delta.from !== table.revision) {
    throw new BlocksError(
      `Cannot apply a delta from revision ${delta.from} to a table of revision ${table.revision}`,
    );
  }
  const redirects = new Map(table.redirects);
  for (const { site, to } of delta.redirects) {
    if (site === to) {
      redirects.delete(site);
    } else {
      redirects.set(site, to);
    }
  }
  const { revision } = delta;
  return new BlockTable(merge(table, editsOf(delta)), {
    revision,
    redirects,
    before: table,
  });
}

function editsOf(delta: BlockDelta): readonly Edit[] {
  const removals = delta.removals
    .map((prefix): Edit => ({ key: keyOf(prefix), block: undefined }));
  const upserts = delta.upserts
    .map((block): Edit => ({ key: keyOf(block), block }));
  const byKey = new Map(
    [...removals, ...upserts].map((edit) => [edit.key, edit] as const),
  );
  return [...byKey.values()].sort((a, b) => a.key - b.key);
}

/** Merges sorted edits into sorted columns. */
function merge(table: BlockTable, edits: readonly Edit[]) {
  if (edits.length === 0) {
    return table.columns;
  }
  const merged = newColumns(table.size + edits.length);
  let size = 0;
  let from = 0;
  const { starts, lengths } = table.columns;
  for (const { key, block } of edits) {
    const until = lowerBound(starts, lengths, key);
    copyRange(table, merged, { from, until, to: size });
    size += until - from;
    const isKnown = until < table.size &&
      keyOf({ start: starts[until]!, length: lengths[until]! }) === key;
    from = isKnown ? until + 1 : until;
    if (block !== undefined) {
      setBlock(merged, size, block);
      size += 1;
    }
  }
  copyRange(table, merged, { from, until: table.size, to: size });
  size += table.size - from;
  return {
    starts: merged.starts.slice(0, size),
    sites: merged.sites.slice(0, size),
    lengths: merged.lengths.slice(0, size),
  };
}

function copyRange(
  table: BlockTable,
  into: BlockTable["columns"],
  { from, until, to }: { from: number; until: number; to: number },
): void {
  const { starts, sites, lengths } = table.columns;
  into.starts.set(starts.subarray(from, until), to);
  into.sites.set(sites.subarray(from, until), to);
  into.lengths.set(lengths.subarray(from, until), to);
}

function lowerBound(
  starts: Uint32Array,
  lengths: Uint8Array,
  key: number,
): number {
  let low = 0;
  let high = starts.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    const found = keyOf({ start: starts[middle]!, length: lengths[middle]! });
    if (found < key) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}
