/**
 * What callers get while a service has less room than they ask for, against the
 * best possible for the load.
 *
 * @module
 */

import { describe, expect, test } from "vitest";
import {
  anyAccount,
  CAPACITY_SLOTS,
  play,
  type Played,
  type PlayedKind,
  shareOf,
  TARGETS,
} from "./testing_room.ts";

const QUERY = { name: "query", priority: 0, runMs: 250, objectiveMs: 500 };
const POSTING = {
  name: "posting",
  priority: 2,
  runMs: 350,
  objectiveMs: 1_500,
};
const BURST_AT = 5_000;
const UNTIL = 20_000;
/** Time in which a shortage shows in reports. */
const NOTICE_MS = 2_500;
/** Share of the best possible that callers must get. */
const OF_BEST = 0.7;

/** Requests per second that keep this share of all slots busy. */
function rateFor(use: number, { runMs }: Pick<PlayedKind, "runMs">): number {
  return use * CAPACITY_SLOTS * 1_000 / runMs;
}

/** A kind whose use of the slots changes when the burst begins. */
function kind(
  base: Omit<PlayedKind, "perSecond">,
  { before, during }: { before: number; during: number },
): PlayedKind {
  return {
    ...base,
    perSecond: (now) => rateFor(now < BURST_AT ? before : during, base),
  };
}

/** The requests of a kind once the shortage is known. */
function during(
  played: readonly Played[],
  name: string,
): readonly Played[] {
  return played.filter(({ kind, at }) =>
    kind.name === name && at >= BURST_AT + NOTICE_MS
  );
}

describe("in a burst of the less urgent kind", () => {
  const played = play({
    untilMs: UNTIL,
    kinds: [
      kind(QUERY, { before: 0.35, during: 0.35 }),
      kind(POSTING, { before: 0.3, during: 1.3 }),
    ],
  });

  test("the most urgent kind is in time", () => {
    // Postings of all VMs fill the targets' queues, and queries wait behind them for
    // longer than their objective.
    const queries = during(played, "query");
    expect(shareOf(queries, "in-time")).toBeGreaterThan(OF_BEST);
  });

  test("the burst gets the room that is left", () => {
    // Thinning too much would leave slots idle while callers are refused.
    const best = (1 - 0.35) / 1.3;
    const inTime = shareOf(during(played, "posting"), "in-time");
    expect(inTime).toBeGreaterThan(OF_BEST * best);
  });
});

test("at one and a half times the capacity, urgent requests take it", () => {
  // All requests are late once the queues at targets are longer than the slack.
  const played = play({
    untilMs: UNTIL,
    kinds: [
      kind(QUERY, { before: 0.4, during: 0.9 }),
      kind(POSTING, { before: 0.3, during: 0.6 }),
    ],
  });
  const queries = during(played, "query");
  expect(shareOf(queries, "in-time")).toBeGreaterThan(OF_BEST);
});

test("an account at six times its usual doesn't take the room of the others", () => {
  // By order of arrival, the flood would get most of the room, and accounts that
  // send what they usually do would be refused as often as it is.
  const base = kind(POSTING, { before: 0.7, during: 1.4 });
  const played = play({
    untilMs: UNTIL,
    kinds: [{
      ...base,
      account: (random, now) => {
        const floodShare = now < BURST_AT ? 0.14 : 0.6;
        return random() < floodShare ? "flood" : anyAccount(random, 20);
      },
    }],
  });
  const burst = during(played, "posting");
  const others = burst.filter(({ account }) => account !== "flood");
  const flood = burst.filter(({ account }) => account === "flood");
  // Others ask for 0.56 of the capacity, so the best possible serves all of them.
  expect(shareOf(others, "in-time")).toBeGreaterThan(OF_BEST);
  expect(shareOf(flood, "refused")).toBeGreaterThan(
    2 * shareOf(others, "refused"),
  );
});

test("while targets refuse half of what they get, retries go to the urgent kind", () => {
  // In order of arrival, most of the retry budget would go to requests that have
  // more time, and refusals would count as failures of all targets.
  const played = play({
    untilMs: UNTIL,
    refusedShare: (now) => now >= BURST_AT ? 0.55 : 0,
    kinds: [
      kind(QUERY, { before: 0.3, during: 0.3 }),
      kind(POSTING, { before: 0.2, during: 0.2 }),
    ],
  });
  const queries = during(played, "query");
  const postings = during(played, "posting");
  const total = queries.length + postings.length;
  // Each VM may use four fifths of the ratio, and spends all on queries.
  const retries = Math.min(0.55 * queries.length, 0.16 * total);
  const best = 0.45 + 0.45 * retries / queries.length;
  const served = shareOf(queries, "in-time");
  expect(served).toBeGreaterThan(0.9 * best);
  expect(served).toBeGreaterThan(shareOf(postings, "in-time"));
});

test("while one target refuses all that it gets, the others serve its objects", () => {
  // It answers at once and looks idle, so that it would get every request for its
  // objects, and their retries would use up the budget.
  const broken = new Set<string>();
  const played = play({
    untilMs: UNTIL,
    refusedShare: (now, target) => {
      if (now >= BURST_AT && broken.size === 0) {
        broken.add(target);
      }
      return broken.has(target) ? 1 : 0;
    },
    kinds: [
      kind(QUERY, { before: 0.25, during: 0.25 }),
      kind(POSTING, { before: 0.2, during: 0.2 }),
    ],
  });
  // The others have twice the room that is asked for.
  expect(shareOf(during(played, "query"), "refused"))
    .toBeLessThan(0.2 / TARGETS);
});

describe("callers that are refused", () => {
  const kinds = [
    kind(QUERY, { before: 0.3, during: 0.3 }),
    kind(POSTING, { before: 0.3, during: 1.2 }),
  ];

  test("don't displace urgent requests by repeating at once", () => {
    // Repeats add to the load that is already too much.
    const played = play({ untilMs: UNTIL, kinds, returns: "at-once" });
    const queries = during(played, "query");
    expect(shareOf(queries, "in-time")).toBeGreaterThan(OF_BEST);
  });

  test("find room when they return as told after a burst", () => {
    // Callers that are given too early a time, or all the same one, are refused
    // again although the service soon has room for them.
    const burstEndsAt = BURST_AT + NOTICE_MS + 1_500;
    const short = kinds.map((kind): PlayedKind => ({
      ...kind,
      perSecond: (now) => kind.perSecond(now < burstEndsAt ? now : 0),
    }));
    const refusedShare = (returns: "told" | "at-once") =>
      shareOf(
        during(play({ untilMs: UNTIL, kinds: short, returns }), "posting")
          .filter(({ at }) => at < burstEndsAt),
        "refused",
      );
    expect(refusedShare("told")).toBeLessThan(0.8 * refusedShare("at-once"));
  });
});
