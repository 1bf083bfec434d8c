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
    file: `${PLACEMENT}/rendezvous_order.ts`,
    text: "pairWeight(object, target.hash)",
    becomes: "pairWeight(object ^ hashText(from.zone), target.hash)",
  },
  "region-first": {
    file: `${PLACEMENT}/rendezvous_order.ts`,
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
    text: "return known !== undefined && now - known.usedAt < WARM_TTL_MS;",
    becomes: "return false;",
  },
  "warm-news": {
    file: `${PLACEMENT}/steering.ts`,
    text: "const id = this.#known.entries.idOf(target);",
    becomes: "const id = undefined;",
  },
  "price-by-kind": {
    file: `${PLACEMENT}/kind_times.ts`,
    text: "if (times === undefined || !times.unwarmed.isKnown) {",
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
    text: "warmStepMs: 15,",
    becomes: "warmStepMs: 0,",
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
    file: `${PLACEMENT}/admission.ts`,
    text: "return Math.round(load.inFlight(now)) < maxInFlight;",
    becomes: "return true;",
  },
  "whole-requests": {
    file: `${PLACEMENT}/admission.ts`,
    text: "return Math.round(load.inFlight(now)) < maxInFlight;",
    becomes: "return load.inFlight(now) + 1 <= maxInFlight;",
  },
  "early-refusal": {
    file: `${PLACEMENT}/admission.ts`,
    text: "return waitsUntil > request.arrivedAt + maxWaitMs",
    becomes: "return false",
  },
  "urgent-first": {
    file: `${PLACEMENT}/wait_queue.ts`,
    text: "a.request.priority - b.request.priority ||",
    becomes: "",
  },
  "late-last": {
    file: `${PLACEMENT}/wait_queue.ts`,
    text:
      "Number(a.request.objectiveAt < now) -\n        Number(b.request.objectiveAt < now)",
    becomes: "0",
  },
  "load-reports": {
    file: `${PLACEMENT}/target_feedback.ts`,
    text: "load.reported(report, now);",
    becomes: "",
  },
  "reports-fade": {
    file: `${PLACEMENT}/target_load.ts`,
    text: "2 ** (-age / REPORT_HALF_LIFE_MS)",
    becomes: "(age < 0 ? 0 : 1)",
  },
  "silence": {
    file: `${PLACEMENT}/target_health.ts`,
    text: "if (sinceResponseMs < unresponsiveMs + waitMs) {",
    becomes: "if (sinceResponseMs < Infinity) {",
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
