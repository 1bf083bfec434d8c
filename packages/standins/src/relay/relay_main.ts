/**
 * Runs the relay: `relay_main.js '{"relayed", "delays"}'`. Its administration
 * listener takes `cut` with the list of cuts, and answers `bytes`.
 *
 * @module
 */

import { processOptions, serveAdmin } from "../admin.ts";
import type { Delays } from "../delays.ts";
import { type Cut, Relay, type Relayed } from "./relay.ts";

const options = processOptions<
  { relayed: readonly Relayed[]; delays: Delays }
>();
const relay = new Relay(options.delays);
await Promise.all(options.relayed.map((relayed) => relay.listen(relayed)));

await serveAdmin((operation, body) => {
  switch (operation) {
    case "cut":
      relay.cut(body as readonly Cut[]);
      return {};
    case "bytes":
      return { bytes: relay.bytes };
    default:
      return undefined;
  }
});
