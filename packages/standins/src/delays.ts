/**
 * One-way delays between places, which the stand-ins impose: every VM and
 * target has a loopback address of its own that says where it is.
 *
 * @module
 */

/** A place: a region and an availability zone in it, numbered from 1. */
export interface Place {
  readonly region: number;
  readonly zone: number;
}

/** One-way delays in milliseconds. */
export interface Delays {
  readonly betweenZonesMs: number;
  readonly betweenRegionsMs: number;
}

/** The loopback address `127.REGION.ZONE.NUMBER`. */
export function addressAt(place: Place, number: number): string {
  return `127.${place.region}.${place.zone}.${number}`;
}

/** The place of an address; undefined for one that is in no region, as 127.0.0.1. */
export function placeOf(address: string | undefined): Place | undefined {
  const match = /(\d+)\.(\d+)\.(\d+)\.(\d+)$/.exec(address ?? "");
  if (match === null || match[1] !== "127" || match[2] === "0") {
    return undefined;
  }
  return { region: Number(match[2]), zone: Number(match[3]) };
}

/** One-way delay between two places; none where one is unknown. */
export function oneWayMs(
  from: Place | undefined,
  to: Place | undefined,
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
