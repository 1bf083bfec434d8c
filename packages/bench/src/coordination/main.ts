/**
 * The experiment `coordination`: the production parts over a fake table with
 * the platform's limits, on a virtual clock. Prints JSON.
 *
 * @module
 */

import { type ClaimsLoad, measureClaims } from "./claims_bench.ts";
import { measureInForce, measureRecovery } from "./configuration_bench.ts";
import { LIMITS } from "./limited_table.ts";

/** Every claim and every record in a transaction of its own, as fast as the table takes it. */
const ONE_BY_ONE = { maxRows: 1, writesPerSecond: 1_000 };

const CLAIMS: readonly ClaimsLoad[] = [
  ...[100, 300, 1_000, 3_000, 10_000].map((offered): ClaimsLoad => ({
    name: "group commit",
    offered,
    repeats: 0,
    batch: {},
  })),
  {
    name: "group commit, 5% repeats",
    offered: 1_000,
    repeats: 0.05,
    batch: {},
  },
  ...[100, 300, 1_000].map((offered): ClaimsLoad => ({
    name: "one by one",
    offered,
    repeats: 0,
    batch: ONE_BY_ONE,
  })),
  {
    name: "group commit, each row counts as a write",
    offered: 300,
    repeats: 0,
    batch: {},
    limits: { unit: "row" },
  },
  {
    name: "group commit, outage of 4 s",
    offered: 1_000,
    repeats: 0,
    batch: {},
    outageMs: 4_000,
  },
];

/** Runs the experiment. */
export async function run(_args: readonly string[]): Promise<void> {
  const claims = [];
  for (const load of CLAIMS) {
    claims.push(await measureClaims(load));
  }
  const inForce = await measureInForce();
  const recovery = await measureRecovery();
  const report = { limits: LIMITS, claims, inForce, recovery };
  console.log(JSON.stringify(report, undefined, 2));
}
