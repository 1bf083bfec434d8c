import fc from "fast-check";
import { expect, test } from "vitest";
import { type Block, BlockTable, NO_SITE } from "./block_table.ts";
import { BlockCodec } from "./codec.ts";
import { applyDelta, BlocksError } from "./delta.ts";

const SEED = 77;

/** Blocks that are often nested or adjacent: few distinct addresses, prefix lengths up to 8. */
const block: fc.Arbitrary<Block> = fc.record({
  start: fc.nat(15),
  length: fc.nat(8),
  site: fc.nat(4),
}).map(({ start, length, site }) => ({
  start: length === 0
    ? 0
    : ((start * 0x11000000) & (0xffffffff << (32 - length))) >>> 0,
  length,
  site,
}));
const blocks = fc.uniqueArray(block, {
  maxLength: 40,
  selector: ({ start, length }) => `${start}/${length}`,
});

function expectedSite(all: readonly Block[], address: number): number {
  const containing = all
    .filter(({ start, length }) =>
      address >= start && address < start + 2 ** (32 - length)
    )
    .sort((a, b) => b.length - a.length);
  return containing[0]?.site ?? NO_SITE;
}

const ADDRESSES = Array.from({ length: 256 }, (_, n) => n * 0x01000000 + 5);

test("an address maps to the site of the longest prefix that contains it", () => {
  fc.assert(
    fc.property(blocks, (all) => {
      const table = BlockTable.of(all, 1);
      for (const address of [...ADDRESSES, 0, 0xffffffff]) {
        expect(table.siteOf(address)).toBe(expectedSite(all, address));
      }
    }),
    { seed: SEED, numRuns: 200 },
  );
});

test("applying a delta gives the same table as building it from scratch", () => {
  fc.assert(
    fc.property(
      blocks,
      blocks,
      fc.array(fc.nat(39)),
      (before, upserts, removedAt) => {
        const removals = removedAt.flatMap((n) => before[n] ?? []);
        const table = BlockTable.of(before, 1);
        const delta = {
          from: 1,
          revision: 2,
          upserts,
          removals,
          redirects: [],
        };
        const next = applyDelta(table, delta);
        const kept = before.filter((one) => !removals.includes(one));
        const rebuilt = BlockTable.of([...kept, ...upserts], 2);
        expect(next.columns).toEqual(rebuilt.columns);
        expect(table.revision).toBe(1);
      },
    ),
    { seed: SEED, numRuns: 200 },
  );
});

test("snapshots and deltas are unchanged after encoding and decoding", async () => {
  const codec = await BlockCodec.load();
  fc.assert(
    fc.property(blocks, blocks, (all, upserts) => {
      const delta = {
        from: 1,
        revision: 2,
        upserts,
        removals: [],
        redirects: [{ site: 3, to: 1 }],
      };
      const decoded = codec.decodeDelta(codec.encodeDelta(delta));
      expect(decoded).toEqual(delta);
      const table = applyDelta(BlockTable.of(all, 1), decoded);
      const copy = codec.decodeSnapshot(codec.encodeSnapshot(table));
      expect(copy.columns).toEqual(table.columns);
      expect(copy.redirects).toEqual(table.redirects);
      for (const address of ADDRESSES) {
        expect(copy.siteOf(address)).not.toBe(3);
      }
    }),
    { seed: SEED, numRuns: 100 },
  );
});

// A snapshot is truncated or corrupted in transfer from the object store. If it
// were accepted, entire client blocks would be sent to a wrong site.
test("truncated or corrupted bytes are rejected", async () => {
  const codec = await BlockCodec.load();
  const table = BlockTable.of([{ start: 0, length: 8, site: 1 }], 1);
  const bytes = codec.encodeSnapshot(table);
  for (let at = 0; at < bytes.length; at++) {
    const corrupted = bytes.slice();
    corrupted[at]! ^= 1;
    expect(() => codec.decodeSnapshot(corrupted)).toThrow(BlocksError);
    expect(() => codec.decodeSnapshot(bytes.slice(0, at))).toThrow(BlocksError);
  }
});

// A delta arrives before its predecessor. Applied to the wrong revision, it would
// leave blocks at wrong sites.
test("a delta for another revision is rejected", () => {
  const table = BlockTable.of([], 1);
  const delta = {
    from: 2,
    revision: 3,
    upserts: [],
    removals: [],
    redirects: [],
  };
  expect(() => applyDelta(table, delta)).toThrow(BlocksError);
});
