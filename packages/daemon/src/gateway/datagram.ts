/**
 * Reads datagrams, which hold one JSON-RPC message each.
 *
 * @module
 */

import type { Buffer } from "node:buffer";

/** Parses a datagram; undefined if it is no JSON object, and so not from a VM of this deployment. */
export function parseDatagram(datagram: Buffer): object | undefined {
  try {
    const message: unknown = JSON.parse(datagram.toString("utf8"));
    return typeof message === "object" && message !== null
      ? message
      : undefined;
  } catch {
    return undefined;
  }
}
