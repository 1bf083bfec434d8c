/**
 * The experiment `slopes`: what each mechanism costs against the number that it
 * grows with, as JSON with a fitted line.
 *
 * `npm run bench -- slopes [--quick] [--only PART]`
 *
 * @module
 */

import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { measureBadDay } from "./bad_day.ts";
import { measureBlocks } from "./blocks.ts";
import { measureDissemination } from "./dissemination.ts";
import { measureEscrow } from "./escrow.ts";
import { measureHeartbeats } from "./heartbeats.ts";
import { measureMemberState } from "./member_state.ts";
import { measureRealPeers } from "./real_peers.ts";

/** The parts in the order in which they run. */
const PARTS: Readonly<Record<string, (quick: boolean) => unknown>> = {
  memberState: measureMemberState,
  blocks: measureBlocks,
  escrow: measureEscrow,
  dissemination: measureDissemination,
  realPeers: measureRealPeers,
  badDay: measureBadDay,
  heartbeats: measureHeartbeats,
};

/** Runs the experiment with its own arguments. */
export async function run(args: readonly string[]): Promise<void> {
  const quick = args.includes("--quick");
  const only = args.includes("--only")
    ? args[args.indexOf("--only") + 1]
    : undefined;
  if (only !== undefined && !(only in PARTS)) {
    throw new Error(
      `Cannot measure "${only}": the parts are ${
        Object.keys(PARTS).join(", ")
      }`,
    );
  }
  exposeCollector();
  const report: Record<string, unknown> = {};
  for (const [name, measure] of Object.entries(PARTS)) {
    if (only === undefined || only === name) {
      report[name] = await measure(quick);
    }
  }
  const { rss } = process.memoryUsage();
  console.log(JSON.stringify({ quick, ...report, rssAtEnd: rss }, null, 2));
}

/** Memory is read after a collection; without one, garbage would be counted as state. */
function exposeCollector(): void {
  setFlagsFromString("--expose-gc");
  (globalThis as { gc?: unknown }).gc = runInNewContext("gc");
}
