/**
 * One-way network delays that the stand-ins simulate between locations. Each VM
 * and target has its own loopback address, which encodes its location.
 *
 * @module
 */

/** A region and an availability zone in it, both numbered from 1. */
export interface Location {
  readonly region: number;
  readonly zone: number;
}

/** One-way delays between locations; there is none within a zone. */
export interface Delays {
  readonly betweenZonesMs: number;
  readonly betweenRegionsMs: number;
}

/** Returns the loopback address `127.REGION.ZONE.NUMBER`. */
export function addressAt(location: Location, number: number): string {
  return `127.${location.region}.${location.zone}.${number}`;
}

/** Returns the location of an address; undefined if it has no region, such as 127.0.0.1. */
export function locationOf(address: string | undefined): Location | undefined {
  const match = /(\d+)\.(\d+)\.(\d+)\.(\d+)$/.exec(address ?? "");
  if (match === null || match[1] !== "127" || match[2] === "0") {
    return undefined;
  }
  return { region: Number(match[2]), zone: Number(match[3]) };
}

/** Returns the one-way delay between two locations; 0 if either is unknown. */
export function oneWayDelayMs(
  from: Location | undefined,
  to: Location | undefined,
  delays: Delays,
): number {
  if (from === undefined || to === undefined) {
    return 0;
  }
  if (from.region !== to.region) {
    return delays.betweenRegionsMs;
  }
  return from.zone === to.zone ? 0 : delays.betweenZonesMs;
}
