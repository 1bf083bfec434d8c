/**
 * State, look-up and change of the table of client blocks, on a real table.
 *
 * @module
 */

import { gzipSync } from "node:zlib";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  applyDelta,
  type Block,
  BlockCodec,
  type BlockDelta,
  BlockTable,
} from "@poplarthread/coordination";
import { type Fit, fitLine, median, rounded } from "./fit.ts";

const SEED = 41;
const SITES = 450;
const REPEATS = 5;
const LOOKUPS = 1_000_000;
/** Blocks that one small change moves. */
const SMALL_CHANGE = 100;

/** What was measured at one size. */
interface BlockFigures {
  readonly blocks: number;
  readonly tableBytes: number;
  readonly lookupNs: number;
  readonly redirectedLookupNs: number;
  readonly snapshotBytes: number;
  readonly snapshotGzipBytes: number;
  readonly snapshotEncodeMs: number;
  readonly snapshotDecodeMs: number;
  readonly smallDeltaBytes: number;
  readonly smallDeltaApplyMs: number;
  readonly wholeDeltaBytes: number;
  readonly wholeDeltaApplyMs: number;
  readonly redirectDeltaBytes: number;
  readonly redirectDeltaApplyMs: number;
}

/** All sizes and the lines through them. */
export interface BlocksReport {
  readonly how: string;
  readonly sizes: readonly BlockFigures[];
  readonly perBlock: Readonly<Record<string, Fit>>;
}

/** Measures tables of several sizes. */
export async function measureBlocks(quick: boolean): Promise<BlocksReport> {
  const codec = await BlockCodec.load();
  const sizes = quick
    ? [5_000, 10_000, 20_000]
    : [51_250, 102_500, 205_000, 410_000, 820_000];
  const figures = sizes.map((size) => measureTable(size, codec));
  const fitted: readonly (keyof BlockFigures)[] = [
    "tableBytes",
    "lookupNs",
    "snapshotBytes",
    "snapshotGzipBytes",
    "snapshotEncodeMs",
    "snapshotDecodeMs",
    "smallDeltaApplyMs",
    "wholeDeltaBytes",
    "wholeDeltaApplyMs",
  ];
  const perBlock = Object.fromEntries(fitted.map((name) => [
    name,
    fitLine(figures.map((at) => ({ x: at.blocks, y: at[name] }))),
  ]));
  const how =
    `real tables of distinct /24 blocks at random with random sites, median of ${REPEATS}`;
  return { how, sizes: figures, perBlock };
}

function measureTable(size: number, codec: BlockCodec): BlockFigures {
  const random = xoroshiro128plus(SEED);
  const blocks = randomBlocks(size, random);
  const table = BlockTable.of(blocks, 1);
  const addresses = Uint32Array.from(
    { length: LOOKUPS },
    () => random.next() >>> 0,
  );
  const snapshot = codec.encodeSnapshot(table);
  const small = deltaOf(blocks.slice(0, SMALL_CHANGE));
  const whole = deltaOf(blocks);
  const redirect: BlockDelta = {
    ...deltaOf([]),
    redirects: Array.from(
      { length: SITES - 1 },
      (_, site) => ({ site, to: SITES - 1 }),
    ),
  };
  const redirected = applyDelta(table, redirect);
  const encodedSmall = codec.encodeDelta(small);
  const encodedWhole = codec.encodeDelta(whole);
  const encodedRedirect = codec.encodeDelta(redirect);
  return {
    blocks: size,
    tableBytes: table.bytes,
    lookupNs: lookupNs(table, addresses),
    redirectedLookupNs: lookupNs(redirected, addresses),
    snapshotBytes: snapshot.length,
    snapshotGzipBytes: gzipSync(snapshot).length,
    snapshotEncodeMs: medianMs(() => codec.encodeSnapshot(table)),
    snapshotDecodeMs: medianMs(() => codec.decodeSnapshot(snapshot)),
    smallDeltaBytes: encodedSmall.length,
    smallDeltaApplyMs: medianMs(() =>
      applyDelta(table, codec.decodeDelta(encodedSmall))
    ),
    wholeDeltaBytes: encodedWhole.length,
    wholeDeltaApplyMs: medianMs(() =>
      applyDelta(table, codec.decodeDelta(encodedWhole))
    ),
    redirectDeltaBytes: encodedRedirect.length,
    redirectDeltaApplyMs: medianMs(() =>
      applyDelta(table, codec.decodeDelta(encodedRedirect))
    ),
  };
}

function randomBlocks(
  size: number,
  random: RandomGenerator,
): readonly Block[] {
  const taken = new Set<number>();
  while (taken.size < size) {
    taken.add(uniformInt(random, 0, 0xffffff));
  }
  return [...taken].map((prefix) => ({
    start: prefix * 256,
    length: 24,
    site: uniformInt(random, 0, SITES - 1),
  }));
}

function deltaOf(blocks: readonly Block[]): BlockDelta {
  const upserts = blocks
    .map((block) => ({ ...block, site: (block.site + 1) % SITES }));
  return { from: 1, revision: 2, upserts, removals: [], redirects: [] };
}

function lookupNs(table: BlockTable, addresses: Uint32Array): number {
  let sink = 0;
  const ms = medianMs(() => {
    for (const address of addresses) {
      sink += table.siteOf(address);
    }
  });
  // The sum is used, so that the look-ups cannot be left out as useless.
  return sink < 0 ? NaN : rounded(ms * 1e6 / addresses.length);
}

/** Median time of some runs, after one that does not count. */
export function medianMs(body: () => void): number {
  body();
  const times = Array.from({ length: REPEATS }, () => {
    const start = performance.now();
    body();
    return performance.now() - start;
  });
  return rounded(median(times));
}
