/**
 * Log lines about homes.
 *
 * @module
 */

import { expect, test } from "vitest";
import type { ServiceId } from "@poplarthread/ids";
import type { OwnedHomes, OwnerTerm } from "@poplarthread/placement";
import type { Log, LogFields } from "../../log.ts";
import { EventLog } from "../events.ts";
import { HomeLog } from "./home_log.ts";

const SERVICE = "portal" as ServiceId;
const TERM = "4f2a" as OwnerTerm;

/** An agent that owns the homes of one service. */
function ownerOf(owned: Partial<OwnedHomes> = {}) {
  return {
    counts: { assigned: 9, added: 2, moved: 0, dropped: 0, unanswered: 0 },
    owned: (): readonly OwnedHomes[] => [{
      service: SERVICE,
      term: TERM,
      objects: 7,
      homes: 9,
      peakLoad: 1.234,
      moved: 0,
      ...owned,
    }],
  };
}

/** The log of an agent, and the lines that it writes. */
function logOf(agent: ReturnType<typeof ownerOf>) {
  const lines: string[] = [];
  const write = (event: string, fields?: LogFields) =>
    void lines.push(
      [event, ...Object.entries(fields ?? {}).map((field) => field.join("="))]
        .join(" "),
    );
  const log = { error: write, warn: write, info: write, debug: write };
  const homeLog = new HomeLog({
    log: new EventLog(log as unknown as Log),
    agent,
    vmsInRegion: () => 4,
  });
  return { homeLog, lines };
}

test("the start and the end of a term are logged, and in between a summary every 10 s", () => {
  const agent = ownerOf();
  const { homeLog, lines } = logOf(agent);
  homeLog.ownershipChanged(SERVICE, TERM);
  for (let now = 0; now < 10_000; now += 200) {
    homeLog.write(now);
  }
  agent.owned = ownerOf({ moved: 3 }).owned;
  homeLog.write(10_000);
  homeLog.ownershipChanged(SERVICE, undefined);
  expect(lines).toMatchInlineSnapshot(`
    [
      "homes owned service=portal term=4f2a vms=4",
      "homes assigned service=portal term=4f2a objects=7 homes=9 secondHomes=2 moved=0 peakLoad=1.23",
      "homes assigned service=portal term=4f2a objects=7 homes=9 secondHomes=2 moved=3 peakLoad=1.23",
      "homes not owned service=portal term=4f2a vms=4",
    ]
  `);
});

test("missing answers are counted in one line every 10 s", () => {
  // While an owner is cut off, each new object has a query without an answer.
  const agent = ownerOf();
  const { homeLog, lines } = logOf(agent);
  for (let now = 200; now <= 10_200; now += 200) {
    agent.counts.unanswered += 1;
    homeLog.write(now);
  }
  expect(lines.filter((line) => line.startsWith("homes unanswered")))
    .toEqual(["homes unanswered queries=1", "homes unanswered queries=50"]);
});
