/**
 * Which of the store's histories is the current one.
 *
 * @module
 */

import { describe, expect, test } from "vitest";
import {
  type HistoryRead,
  NamedHistory,
  StoreHistory,
} from "./store_history.ts";

const RELAYED = { isOwn: false, isWhole: true };
const OWN = { isOwn: true, isWhole: true };

function readOf(
  era: number,
  overrides: Partial<HistoryRead> = {},
): HistoryRead {
  return { era, version: 10, startedAt: 100, endedAt: 110, ...overrides };
}

/** A VM that has read history `era` from 100 to 110. */
function historyAt(era: number): StoreHistory {
  const history = new StoreHistory();
  history.use(readOf(era), "current");
  return history;
}

describe("a read of a relay", () => {
  test.each([
    ["a higher history, later", 6, 110, 120, "new-history"],
    ["a lower history, later", 4, 110, 120, "new-history"],
    ["a higher history, at the same time", 6, 105, 115, "new-history"],
    ["a lower history, at the same time", 4, 105, 115, "unused"],
    ["a higher history, earlier", 6, 80, 100, "unused"],
    ["a lower history, earlier", 4, 80, 100, "unused"],
  ])("that gives %s", (_what, era, startedAt, endedAt, verdict) => {
    const read = readOf(era, { startedAt, endedAt });
    expect(historyAt(5).judge(read, RELAYED)).toBe(verdict);
  });

  test("that overlaps is not used if the store has left its history", () => {
    const history = historyAt(6);
    const read = readOf(1, { startedAt: 200, endedAt: 210 });
    history.use(read, "new-history");
    const late = readOf(6, { startedAt: 150, endedAt: 205 });
    expect(history.judge(late, RELAYED)).toBe("unused");
  });

  test("with a lower version is of another history only if it is later", () => {
    const lower = { version: 5, startedAt: 105, endedAt: 120 };
    expect(historyAt(5).judge(readOf(5, lower), RELAYED)).toBe("unused");
    const later = { ...lower, startedAt: 110 };
    expect(historyAt(5).judge(readOf(5, later), RELAYED)).toBe("new-history");
  });

  test("that overlaps is used if it only numbers the same history otherwise", () => {
    const history = historyAt(5);
    const read = { numbering: 7, startedAt: 105, endedAt: 115 };
    const changes = { ...RELAYED, isWhole: false };
    expect(history.judge(readOf(5, read), changes)).toBe("unused");
    expect(history.isWholeDue).toBe(true);
    expect(history.judge(readOf(5, read), RELAYED)).toBe("new-history");
    const earlier = { ...read, startedAt: 80, endedAt: 100 };
    expect(history.judge(readOf(5, earlier), RELAYED)).toBe("unused");
  });

  test("with changes that end below the version in use calls for all rows", () => {
    const history = historyAt(5);
    const read = readOf(5, { version: 5, startedAt: 110, endedAt: 120 });
    const changes = { isOwn: false, isWhole: false };
    expect(history.judge(read, changes)).toBe("unused");
    expect(history.isWholeDue).toBe(true);
    const earlier = { ...read, startedAt: 80, endedAt: 90 };
    expect(history.judge(earlier, RELAYED)).toBe("unused");
    expect(history.isWholeDue).toBe(false);
    history.judge(read, changes);
    const complete = { ...read, version: 12 };
    expect(history.judge(complete, RELAYED)).toBe("current");
    expect(history.isWholeDue).toBe(false);
    history.judge(read, changes);
    history.use(read, "new-history");
    expect(history.isWholeDue).toBe(false);
  });
});

describe("an own read", () => {
  test("gives the current history, whatever its number", () => {
    const later = { startedAt: 200, endedAt: 210 };
    expect(historyAt(5).judge(readOf(1, later), OWN)).toBe("new-history");
    expect(historyAt(5).judge(readOf(5, later), OWN)).toBe("current");
  });

  test("that began before a claim is not used once, then whatever is claimed", () => {
    const history = new StoreHistory();
    history.claim(6, 105);
    expect(history.judge(readOf(5), OWN)).toBe("unused");
    const next = readOf(5, { startedAt: 120, endedAt: 130 });
    history.claim(7, 125);
    expect(history.judge(next, OWN)).toBe("current");
  });

  test("with versions that went back begins another numbering", () => {
    const history = historyAt(5);
    const read = readOf(5, { version: 3, startedAt: 200, endedAt: 210 });
    expect(history.judge(read, OWN)).toBe("new-history");
    history.use(read, "new-history");
    expect(history.numbering).not.toBe(0);
    const { numbering } = history;
    expect(history.isKnown({ era: 5, version: 9, numbering: 0 }, 3)).toBe(
      false,
    );
    expect(history.isKnown({ era: 5, version: 9, numbering }, 3)).toBe(true);
  });
});

describe("a claim", () => {
  test("that a later read refutes is left alone until the store names it", () => {
    const history = historyAt(5);
    expect(history.claim(10, 150)).toBe(true);
    expect(history.use(readOf(5, { startedAt: 140 }), "current")).toEqual([]);
    expect(history.isReadDue).toBe(false);
    expect(history.isOpen(10)).toBe(true);
    expect(history.use(readOf(5, { startedAt: 150 }), "current")).toEqual([10]);
    expect(history.claim(10, 60_000)).toBe(false);
    history.use(readOf(10, { startedAt: 70_000 }), "new-history");
    history.use(readOf(1, { startedAt: 80_000 }), "new-history");
    expect(history.claim(10, 90_000)).toBe(false);
    expect(history.era).toBe(1);
  });

  test("of another number each time causes few reads", () => {
    const history = historyAt(5);
    const reads = Array.from({ length: 100 }, (_, at) => {
      const now = 200 + at * 100;
      const isDue = history.claim(10 + at, now);
      history.use(readOf(5, { startedAt: now, endedAt: now }), "current");
      return isDue;
    });
    expect(reads.filter((isDue) => isDue)).toHaveLength(2);
  });

  test.each([0, -1, 1.5, NaN, Infinity])("of %s is none", (era) => {
    const history = historyAt(5);
    expect(history.claim(era, 150)).toBe(false);
    expect(history.isOpen(era)).toBe(false);
  });

  test("of a version that a later read does not reach is refuted", () => {
    const history = historyAt(5);
    expect(history.claimVersion({ era: 5, version: 20 }, 150)).toBe(true);
    history.use(readOf(5, { startedAt: 160 }), "current");
    expect(history.claimVersion({ era: 5, version: 20 }, 170)).toBe(false);
    expect(history.claimVersion({ era: 5, version: 19 }, 170)).toBe(true);
    expect(history.claimVersion({ era: 5, version: 21 }, 170)).toBe(true);
  });
});

test("a response that names no history is of the one named last, also if late responses came since", () => {
  const history = new NamedHistory();
  const missing = { startedAt: 0, endedAt: 1 };
  expect(history.resolve(undefined, missing)).toBe(0);
  expect(history.resolve(5, { startedAt: 10, endedAt: 12 })).toBe(5);
  expect(history.resolve(1, { startedAt: 12, endedAt: 14 })).toBe(1);
  expect(history.resolve(undefined, missing)).toBe(1);
  expect(history.resolve(0, { startedAt: 11, endedAt: 20 })).toBe(0);
  expect(history.resolve(undefined, missing)).toBe(1);
});
