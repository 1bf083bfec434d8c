/**
 * Addresses of sockets as other programs write them.
 *
 * @module
 */

import { isIPv4 } from "node:net";

const MAX_PORT = 65_535;
const SOCKET_ADDRESS = /^([0-9.]+):([0-9]{1,5})$/;

/** Whether `text` is an IPv4 address and a port, `host:port`. Sockets throw for other ports. */
export function isSocketAddress(text: string): boolean {
  const [, host = "", port = ""] = SOCKET_ADDRESS.exec(text) ?? [];
  return isIPv4(host) && Number(port) >= 1 && Number(port) <= MAX_PORT;
}
