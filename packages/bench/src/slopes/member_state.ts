/**
 * Memory that knowing other members takes.
 *
 * @module
 */

import process from "node:process";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Membership } from "@poplarthread/coordination";
import { type Fit, fitLine, type Point } from "./fit.ts";
import { memberAt } from "./fleet.ts";

/** Collections before a reading: what the first one frees may let the next free more. */
const COLLECTIONS = 3;

const CORES = 6;

/** Heap by the members that cores know together. */
export interface MemberStateReport {
  readonly how: string;
  readonly heap: readonly Point[];
  readonly perMember: Fit;
}

/**
 * Measures the heap while one core after the other is added. Only the growth
 * counts: a single difference had garbage of the preparation in its first reading.
 */
export function measureMemberState(quick: boolean): MemberStateReport {
  const members = quick ? 300 : 3_000;
  const text = newsOf(members);
  const cores: Membership[] = [];
  const heap: Point[] = [];
  for (let n = 0; n < CORES; n++) {
    cores.push(coreThatKnows(text));
    heap.push({ x: cores.length * members, y: heapUsed() });
  }
  return {
    how:
      `heap after collection, ${CORES} production cores that know ${members} members each, whose entries came as JSON`,
    heap,
    perMember: fitLine(heap),
  };
}

function newsOf(members: number): string {
  return JSON.stringify(
    Array.from({ length: members }, (_, n) => ({
      kind: "member",
      member: memberAt(n + 1),
    })),
  );
}

function coreThatKnows(news: string): Membership {
  const core = new Membership({
    self: memberAt(0),
    random: xoroshiro128plus(1),
  });
  core.receive({
    kind: "entries",
    from: memberAt(1),
    buckets: [],
    news: JSON.parse(news),
    reply: false,
  }, 0);
  return core;
}

function heapUsed(): number {
  for (let n = 0; n < COLLECTIONS; n++) {
    (globalThis as { gc?: () => void }).gc?.();
  }
  return process.memoryUsage().heapUsed;
}
