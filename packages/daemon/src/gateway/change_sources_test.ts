/**
 * Selecting the source of changes.
 *
 * @module
 */

import { expect, test } from "vitest";
import { ChangeSources } from "./change_sources.ts";
import { memberNamed } from "./testing.ts";

const RELAYS = ["vm-1", "vm-2", "vm-3"].map((vm) => memberNamed(vm));
const FALLBACK = memberNamed("vm-9");
const CONNECTED = { isLost: false, isFirst: false };

function sources(): ChangeSources {
  return new ChangeSources({
    relays: (excluded) =>
      RELAYS.filter(({ vm }) => !excluded.has(vm)).slice(0, 2),
    fallbacks: () => [FALLBACK],
  });
}

test("a slow relay is replaced for a while, longer if it is slow again", () => {
  const selected = sources();
  selected.slow(RELAYS[0]!, 0);
  expect(selected.next(4_900, CONNECTED)).toBe(RELAYS[1]);
  expect(selected.next(5_100, CONNECTED)).toBe(RELAYS[0]);
  selected.slow(RELAYS[0]!, 6_000);
  expect(selected.next(15_900, CONNECTED)).toBe(RELAYS[1]);
  expect(selected.next(16_100, CONNECTED)).toBe(RELAYS[0]);
  selected.slow(RELAYS[0]!, 60_000);
  expect(selected.next(65_100, CONNECTED)).toBe(RELAYS[0]);
});

test("beside a relay the next one may be asked, which also takes its place", () => {
  const selected = sources();
  const used = { used: RELAYS[0], isLost: false };
  expect(selected.beside(0, used)).toEqual([RELAYS[1]]);
  selected.slow(RELAYS[0]!, 0);
  expect(selected.next(1, CONNECTED)).toBe(RELAYS[1]);
  expect(selected.beside(1, { used: RELAYS[1], isLost: false }))
    .toEqual([RELAYS[2]]);
});

test("beside the store VMs of other regions may be asked", () => {
  const selected = new ChangeSources({
    relays: () => [],
    fallbacks: () => [FALLBACK],
  });
  expect(selected.beside(0, { used: undefined, isLost: false }))
    .toEqual([FALLBACK]);
});
