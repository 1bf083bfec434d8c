/**
 * Ports that nobody else uses, for a cluster on loopback addresses.
 *
 * @module
 */

import { createServer } from "node:net";

/** The ports of a cluster; each VM and target has an address of its own. */
export interface Ports {
  readonly platform: number;
  readonly caller: number;
  readonly operator: number;
  readonly peer: number;
  /** The relay before the peers' listener; this one is in the VM list. */
  readonly peerRelay: number;
  readonly target: number;
}

/** Below the range from which the system takes ports for outgoing connections. */
const LOWEST = 12_000;
const HIGHEST = 31_000;
const STEP = 10;
const TRIES = 50;
/** Addresses that are tried: the platform's, and the first VM's. */
const TRIED = ["127.0.0.1", "127.1.1.11"];

/** Finds a free range; two clusters that start at once may still collide, and fail to start. */
export async function findPorts(): Promise<Ports> {
  for (let n = 0; n < TRIES; n++) {
    const steps = Math.floor((HIGHEST - LOWEST) / STEP);
    const base = LOWEST + STEP * Math.floor(Math.random() * steps);
    const ports = Array.from({ length: 6 }, (_, index) => base + index);
    const free = await Promise.all(
      ports.flatMap((port) => TRIED.map((host) => isFree(host, port))),
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
  throw new Error(`Cannot find free ports: none in ${TRIES} tries`);
}

function isFree(host: string, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}
