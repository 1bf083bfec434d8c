/**
 * Which VM gets the requests of one that reaches no target.
 *
 * @module
 */

import { expect, test } from "vitest";
import type { RegionId, VmId, ZoneId } from "@poplarthread/ids";
import { memberNamed } from "../testing.ts";
import { PeerChoice } from "./peer_choice.ts";

const FROM = { zone: "north-1" as ZoneId, region: "north" as RegionId };
const NEAR = [
  memberNamed("n-2"),
  memberNamed("n-3", { zone: "north-2" as ZoneId }),
];
const FAR = memberNamed("s-1", {
  zone: "south-1" as ZoneId,
  region: "south" as RegionId,
});
const NEVER_SEEN = () => -Infinity;
const ANY = { regions: [], tried: new Set<VmId>() };

function choices(choice: PeerChoice, count: number, now = 0): string[] {
  return Array.from(
    { length: count },
    () => choice.next([...NEAR, FAR], ANY, now)?.vm ?? "none",
  );
}

test("requests are spread over the VMs of the region", () => {
  expect(choices(new PeerChoice(FROM, NEVER_SEEN), 4).toSorted())
    .toEqual(["n-2", "n-2", "n-3", "n-3"]);
});

test("other regions are used when no VM of the region is left", () => {
  const tried = new Set(NEAR.map(({ vm }) => vm));
  const chosen = new PeerChoice(FROM, NEVER_SEEN)
    .next([...NEAR, FAR], { ...ANY, tried }, 0);
  expect(chosen?.vm).toBe("s-1");
});

test("a request bound to a region is not forwarded out of it", () => {
  const choice = new PeerChoice(FROM, NEVER_SEEN);
  const regions = ["south" as RegionId];
  expect(choice.next([...NEAR, FAR], { ...ANY, regions }, 0)?.vm).toBe("s-1");
  expect(choice.next(NEAR, { ...ANY, regions }, 0)).toBeUndefined();
});

test("a VM that did not respond is used again once its next heartbeat arrives", () => {
  // Guards against refusals for three seconds because one request waited for its target.
  let seenAt = 0;
  const choice = new PeerChoice(FROM, () => seenAt);
  choice.backOff("n-2" as VmId, 100);
  expect(choices(choice, 2, 200)).toEqual(["n-3", "n-3"]);
  seenAt = 500;
  expect(choices(choice, 2, 600).toSorted()).toEqual(["n-2", "n-3"]);
});

test("a VM that did not respond is left out for a while", () => {
  const choice = new PeerChoice(FROM, NEVER_SEEN);
  choice.backOff("n-2" as VmId, 0);
  expect(choices(choice, 2)).toEqual(["n-3", "n-3"]);
  expect(choices(choice, 2, 5_000).toSorted()).toEqual(["n-2", "n-3"]);
});
