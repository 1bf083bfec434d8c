/**
 * Loopback addresses and ports for tests, which no other process uses.
 *
 * @module
 */

import process from "node:process";

/**
 * A loopback address that only this process uses, derived from its process id and
 * ending in `host`. Servers in tests are given their ports before they bind them. On
 * 127.0.0.1, a connection of another test may take a port that was free a moment
 * earlier, and the test would fail; on this address no other process takes it.
 */
export function loopbackAddress(host: number): string {
  const { pid } = process;
  return `127.${64 + (pid >> 8) % 128}.${pid % 256}.${host}`;
}

/** The ports handed out start right above this one. */
const BASE_PORT = 20_000;
let portsHandedOut = 0;

/** A port that this function has not returned before in this process. */
export function nextPort(): number {
  portsHandedOut += 1;
  return BASE_PORT + portsHandedOut;
}
