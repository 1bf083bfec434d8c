/**
 * Which new requests are admitted.
 *
 * @module
 */

import { expect, test } from "vitest";
import { RoomGate } from "./room_gate.ts";

const REQUEST = {
  account: undefined,
  isInTime: () => true,
  maxReturnMs: 1_000,
};

test("a less urgent priority without a share gets no more than a more urgent one", () => {
  // The owner hears of a new kind of request after a round; until then all of it
  // would be admitted while more urgent requests are refused.
  const gate = new RoomGate(0);
  const shares = [{ priority: 1, admitted: 0.1, returnMs: 500 }];
  const admitted = (priority: number): number =>
    Array.from(
      { length: 100 },
      (_, at) =>
        gate.decide({ ...REQUEST, priority, repeatKey: undefined }, {
          shares,
          now: at,
        }),
    ).filter(({ kind }) => kind === "admit").length;
  expect(admitted(2)).toBeLessThanOrEqual(admitted(1));
  expect(admitted(0)).toBe(100);
});

test("a caller that returns early is not told a later time than it waits", () => {
  // Callers don't wait longer than a part of the time that they have left.
  const gate = new RoomGate(0);
  const shares = [{ priority: 0, admitted: 0, returnMs: 800 }];
  const decide = (maxReturnMs: number) =>
    gate.decide(
      { ...REQUEST, priority: 0, repeatKey: 1, maxReturnMs },
      { shares, now: 0 },
    );
  decide(1_000);
  const again = decide(200);
  expect(again.kind === "refuse" && again.retryAfterMs).toBeLessThanOrEqual(
    200,
  );
});
