/**
 * The timeline of a request by its id.
 *
 * @module
 */

import { expect, test } from "vitest";
import { RequestTimelineReader } from "./request_timeline.ts";

function line(
  second: number,
  message: string,
  fields: Record<string, unknown> = {},
): string {
  const timestamp = new Date(Date.UTC(2026, 0, 1, 12, 0, second)).toISOString();
  return JSON.stringify({ timestamp, vm: "vm-1", message, ...fields });
}

function timelineOf(request: string, lines: readonly string[]) {
  const reader = new RequestTimelineReader(request);
  lines.forEach((one) => reader.read(one));
  const { own, beliefs, unreadable } = reader.timeline();
  const messages = (list: typeof own) => list.map(({ message }) => message);
  return { own: messages(own), beliefs: messages(beliefs), unreadable };
}

const LINES = [
  line(20, "request ended", {
    request: "r-1",
    target: "t-2",
    service: "portal",
  }),
  line(18, "attempt failed", { request: "r-1", target: "t-1" }),
  line(17, "target silent", { target: "t-1" }),
  line(17, "target silent", { target: "t-9" }),
  line(16, "zone evacuated", { zone: "north-1" }),
  line(2, "target silent", { target: "t-1" }),
  line(19, "request ended", { request: "r-2", target: "t-1" }),
];

test("a request's lines are in order of time, with the state changes of its targets", () => {
  expect(timelineOf("r-1", LINES)).toEqual({
    own: ["attempt failed", "request ended"],
    beliefs: ["zone evacuated", "target silent"],
    unreadable: 0,
  });
});

test("an unknown id has no lines", () => {
  expect(timelineOf("r-7", LINES).own).toEqual([]);
});

test("truncated lines are counted and otherwise ignored", () => {
  const truncated = [...LINES, LINES[0]!.slice(0, 30), "not JSON", "{}", ""];
  expect(timelineOf("r-1", truncated)).toMatchObject({
    own: ["attempt failed", "request ended"],
    unreadable: 3,
  });
});

test("a request's lines come with what its VM met with the owner of homes", () => {
  const lines = [
    line(15, "homes unanswered", { queries: 3 }),
    line(16, "homes owned", { service: "portal" }),
    line(16, "homes owned", { service: "shop" }),
    ...LINES.slice(0, 1),
  ];
  expect(timelineOf("r-1", lines).beliefs)
    .toEqual(["homes unanswered", "homes owned"]);
});
