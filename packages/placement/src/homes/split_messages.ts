/**
 * Splits messages so that each fits into a datagram.
 *
 * @module
 */

import type { CountedDemand } from "./demand_log.ts";
import type {
  HomeQuery,
  ObjectHomes,
  ObservedLoad,
  TargetShare,
} from "./messages.ts";

/** Most of a datagram of 1,400 bytes; the rest is for the other fields. */
const BODY_BYTES = 1_100;
/** A hash of four bytes in base64. */
const HASH_BYTES = 5.4;
/** A number of up to three packed bytes, such as a time of some minutes, in base64. */
const NUMBER_BYTES = 4;
/** The length of a short list, or a flag: one byte in base64. */
const LENGTH_BYTES = 1.4;

/** Splits homes; there is at least one part, which may be empty. */
export function splitHomes<T extends ObjectHomes>(
  homes: readonly T[],
): readonly (readonly T[])[] {
  return split(homes, bytesOfHomes);
}

/** Splits queries. */
export function splitQueries(
  queries: readonly HomeQuery[],
): readonly (readonly HomeQuery[])[] {
  return split(queries, () => HASH_BYTES + NUMBER_BYTES + LENGTH_BYTES);
}

/** Splits the loads of a summary; there is at least one part, which may be empty. */
export function splitLoads(
  loads: readonly TargetShare[],
): readonly (readonly TargetShare[])[] {
  return split(loads, () => HASH_BYTES + NUMBER_BYTES);
}

/** Splits observed loads; there is no part without loads. */
export function splitObservedLoads(
  loads: readonly ObservedLoad[],
): readonly (readonly ObservedLoad[])[] {
  return loads.length === 0
    ? []
    : split(loads, () => HASH_BYTES + 2 * NUMBER_BYTES);
}

/** Splits what a report counts; each item is in exactly one part. */
export function splitReport(counted: CountedDemand): readonly CountedDemand[] {
  const items: CountedDemand[] = [
    ...counted.priorities.map((item) => ({ ...NOTHING, priorities: [item] })),
    ...counted.objects.map((item) => ({ ...NOTHING, objects: [item] })),
    ...counted.targets.map((item) => ({ ...NOTHING, targets: [item] })),
  ];
  return split(items, bytesOfCounted)
    .filter((part) => part.length > 0)
    .map((part) => ({
      objects: part.flatMap(({ objects }) => objects),
      priorities: part.flatMap(({ priorities }) => priorities),
      targets: part.flatMap(({ targets }) => targets),
    }));
}

const NOTHING: CountedDemand = { objects: [], priorities: [], targets: [] };

function bytesOfCounted(
  { objects, priorities, targets }: CountedDemand,
): number {
  const numbers = 2 * objects.length + 4 * priorities.length +
    2 * targets.length;
  const homes = objects.reduce((sum, demand) => sum + bytesOfHomes(demand), 0);
  const observed = (HASH_BYTES + LENGTH_BYTES) * targets.length;
  return homes + observed + NUMBER_BYTES * numbers;
}

function bytesOfHomes({ targets }: ObjectHomes): number {
  return HASH_BYTES * (1 + targets.length) + LENGTH_BYTES;
}

function split<T>(
  items: readonly T[],
  bytesOf: (item: T) => number,
): readonly (readonly T[])[] {
  const parts: T[][] = [[]];
  let bytes = 0;
  for (const item of items) {
    const itemBytes = bytesOf(item);
    if (bytes + itemBytes > BODY_BYTES) {
      parts.push([]);
      bytes = 0;
    }
    parts.at(-1)!.push(item);
    bytes += itemBytes;
  }
  return parts;
}
