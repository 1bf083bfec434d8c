/**
 * Runs the TCP relay: `relay_main.js '{"relayed", "delays"}'`. Its administration
 * listener handles `cut`, whose body is the list of all partitions, and `bytes`.
 *
 * @module
 */

import { processOptions, serveAdmin } from "../admin.ts";
import type { Delays } from "../delays.ts";
import { type Partition, type RelayedListener, TcpRelay } from "./relay.ts";

const options = processOptions<
  { relayed: readonly RelayedListener[]; delays: Delays }
>();
const relay = new TcpRelay(options.delays);
await Promise.all(options.relayed.map((listener) => relay.listen(listener)));

await serveAdmin((operation, body) => {
  switch (operation) {
    case "cut":
      relay.setPartitions(body as readonly Partition[]);
      return {};
    case "bytes":
      return { bytes: relay.bytes };
    default:
      return undefined;
  }
});
