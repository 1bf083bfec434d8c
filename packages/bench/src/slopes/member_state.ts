/**
 * Memory that knowing other members takes.
 *
 * @module
 */

import process from "node:process";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Membership } from "@poplarthread/coordination";
import { type Fit, fitLine } from "./fit.ts";
import { memberAt } from "./fleet.ts";

/** Collections before a reading: what the first one frees may let the next free more. */
const COLLECTIONS = 3;

/** Heap of one core by the members that it knows. */
export interface MemberStateReport {
  readonly how: string;
  readonly sizes: readonly { members: number; heapBytes: number }[];
  readonly perMember: Fit;
}

/** Measures cores that know several numbers of members. */
export function measureMemberState(quick: boolean): MemberStateReport {
  const sizes = (quick ? [100, 200, 300] : [1_000, 3_000, 6_000, 12_000])
    .map((members) => ({ members, heapBytes: heapOf(members) }));
  return {
    how:
      "heap of a production core whose entries came as JSON, after collection",
    sizes,
    perMember: fitLine(
      sizes.map(({ members, heapBytes }) => ({ x: members, y: heapBytes })),
    ),
  };
}

function heapOf(members: number): number {
  const text = JSON.stringify(
    Array.from({ length: members }, (_, n) => ({
      kind: "member",
      member: memberAt(n + 1),
    })),
  );
  const before = heapUsed();
  const core = new Membership({
    self: memberAt(0),
    random: xoroshiro128plus(1),
  });
  core.receive({
    kind: "entries",
    from: memberAt(1),
    buckets: [],
    news: JSON.parse(text),
    reply: false,
  }, 0);
  const after = heapUsed();
  // Both are used after the reading, so that neither is collected before it.
  const isLive = text.length > 0 && core.members().length === members + 1;
  return isLive ? after - before : NaN;
}

function heapUsed(): number {
  for (let n = 0; n < COLLECTIONS; n++) {
    (globalThis as { gc?: () => void }).gc?.();
  }
  return process.memoryUsage().heapUsed;
}
