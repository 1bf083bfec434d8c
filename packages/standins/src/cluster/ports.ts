/**
 * Finds free ports for a cluster on loopback addresses.
 *
 * @module
 */

import { createServer } from "node:net";

/** The ports of a cluster. VMs share port numbers, as do targets, since each has its own address. */
export interface Ports {
  readonly platform: number;
  readonly caller: number;
  readonly operator: number;
  readonly peer: number;
  /** The TCP relay in front of the peer listener; the VM list contains this port. */
  readonly peerRelay: number;
  readonly target: number;
}

/** Lowest port; the range lies below the system's range for outgoing connections. */
const MIN_PORT = 12_000;
const MAX_PORT = 31_000;
const PORT_RANGE_STEP = 10;
const MAX_TRIES = 50;
/** Addresses on which ports must be free: the platform's and the first VM's. */
const PROBED_HOSTS = ["127.0.0.1", "127.1.1.11"];

/** Finds free ports. Two clusters that start at the same time may still collide; then one fails to start. */
export async function findFreePorts(): Promise<Ports> {
  for (let n = 0; n < MAX_TRIES; n++) {
    const rangeCount = Math.floor((MAX_PORT - MIN_PORT) / PORT_RANGE_STEP);
    const base = MIN_PORT +
      PORT_RANGE_STEP * Math.floor(Math.random() * rangeCount);
    const ports = Array.from({ length: 6 }, (_, index) => base + index);
    const free = await Promise.all(
      ports.flatMap((port) => PROBED_HOSTS.map((host) => isFree(host, port))),
    );
    if (free.every(Boolean)) {
      return {
        platform: base,
        caller: base + 1,
        operator: base + 2,
        peer: base + 3,
        peerRelay: base + 4,
        target: base + 5,
      };
    }
  }
  throw new Error(`Cannot find free ports: none in ${MAX_TRIES} tries`);
}

function isFree(host: string, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}
