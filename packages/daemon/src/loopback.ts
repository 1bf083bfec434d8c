/**
 * Loopback addresses that no other process uses.
 *
 * @module
 */

import process from "node:process";

/**
 * An address of this process's own. Listeners of tests must be told their ports
 * before they bind them; a port that was free a moment ago on the common address may
 * be taken by then, by a connection of any other test, and the test fails for that.
 * On an address of its own nothing else can take it.
 */
export function ownAddress(host: number): string {
  const { pid } = process;
  return `127.${64 + (pid >> 8) % 128}.${pid % 256}.${host}`;
}

/** First of the ports that tests hand out. */
const FIRST_PORT = 20_000;
let handedOut = 0;

/** A port that was not handed out before in this process. */
export function nextPort(): number {
  handedOut += 1;
  return FIRST_PORT + handedOut;
}
