/**
 * Ablations: placement mechanisms that can be disabled, to measure what each one
 * contributes. The emulator is bundled from sources in which one line is replaced.
 *
 * @module
 */

import { join } from "node:path";
import {
  bundleProgram,
  type LineReplacement,
  replaceLines,
  ROOT,
} from "@poplarthread/bundling";

/** Entry point of the bundle: the program that runs one scenario. */
const PLAYER = "packages/bench/src/fleet/player.ts";
const PLACEMENT = "packages/placement/src";

/** Name of each mechanism, as on the command line, with the line replacement that disables it. */
export const ABLATIONS: Readonly<Record<string, LineReplacement>> = {
  "agreed-order": {
    file: `${PLACEMENT}/agreed_order.ts`,
    text: "pairWeight(object, target.hash)",
    becomes: "pairWeight(object ^ hashText(from.zone), target.hash)",
  },
  "region-first": {
    file: `${PLACEMENT}/agreed_order.ts`,
    text: "(isHomeHere ? 1 : -1)",
    becomes: "0",
  },
  "home-shares": {
    file: `${PLACEMENT}/home_shares.ts`,
    text: "shares.set(region, Math.min(1, share));",
    becomes: "shares.set(region, 1);",
  },
  "warm-beliefs": {
    file: `${PLACEMENT}/warm_objects.ts`,
    text: "return known !== undefined && now - known.usedAt < KEPT_MS;",
    becomes: "return false;",
  },
  "warm-news": {
    file: `${PLACEMENT}/steering.ts`,
    text: "const id = this.#ids.get(target);",
    becomes: "const id = undefined;",
  },
  "price-by-kind": {
    file: `${PLACEMENT}/kind_times.ts`,
    text: "if (times === undefined || !times.cold.isKnown) {",
    becomes: "if (true) {",
  },
  "unwarmed-price": {
    file: `${PLACEMENT}/choose.ts`,
    text: "unwarmed: 1.5,",
    becomes: "unwarmed: 0,",
  },
  "unwarmed-steps": {
    file: `${PLACEMENT}/choose.ts`,
    text: "unwarmedStep: 0.7,",
    becomes: "unwarmedStep: 0,",
  },
  "away-price": {
    file: `${PLACEMENT}/choose.ts`,
    text: "awayMs: 15,",
    becomes: "awayMs: 0,",
  },
  "failure-share": {
    file: `${PLACEMENT}/choose.ts`,
    text: "failingMs: 1_500,",
    becomes: "failingMs: 0,",
  },
  "cold-owners": {
    file: `${PLACEMENT}/target_rates.ts`,
    text: "return !this.#cold.isCold(target.id, now) ||",
    becomes: "return true ||",
  },
  "waiting-room": {
    file: `${PLACEMENT}/steering.ts`,
    text: "return Math.round(load.inFlight(now)) < most;",
    becomes: "return true;",
  },
  "whole-requests": {
    file: `${PLACEMENT}/steering.ts`,
    text: "return Math.round(load.inFlight(now)) < most;",
    becomes: "return load.inFlight(now) + 1 <= most;",
  },
  "early-refusal": {
    file: `${PLACEMENT}/steering.ts`,
    text: "return waitsUntil > request.arrivedAt + mostWaitMs",
    becomes: "return false",
  },
  "urgent-first": {
    file: `${PLACEMENT}/waiting_room.ts`,
    text: "a.one.priority - b.one.priority ||",
    becomes: "",
  },
  "late-last": {
    file: `${PLACEMENT}/waiting_room.ts`,
    text: "Number(a.one.aimAt < now) - Number(b.one.aimAt < now)",
    becomes: "0",
  },
  "load-reports": {
    file: `${PLACEMENT}/steering.ts`,
    text: "load.reported(result.load, now);",
    becomes: "",
  },
  "reports-fade": {
    file: `${PLACEMENT}/target_load.ts`,
    text: "2 ** (-age / REPORT_HALF_LIFE_MS)",
    becomes: "(age < 0 ? 0 : 1)",
  },
  "silence": {
    file: `${PLACEMENT}/target_belief.ts`,
    text: "if (quietFor < silentMs + waitMs) {",
    becomes: "if (quietFor < Infinity) {",
  },
};

/** Bundles the emulator with the named mechanisms disabled; resolves to the bundle's path. */
export async function bundleWithout(
  names: readonly string[],
): Promise<string> {
  const outfile = join(
    ROOT,
    "packages",
    "bench",
    "dist",
    "fleet",
    `without-${names.join("-") || "nothing"}.mjs`,
  );
  await bundleProgram({
    entry: PLAYER,
    outfile,
    plugins: [replaceLines(names.map((name) => ABLATIONS[name]!))],
  });
  return outfile;
}
