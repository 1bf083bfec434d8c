import { beforeEach, expect, test } from "vitest";
import { KindTimes } from "./kind_times.ts";

let times: KindTimes;

beforeEach(() => {
  times = new KindTimes();
});

function recordSamples(kind: string, { warmMs, unwarmedMs }: {
  warmMs: number;
  unwarmedMs: number;
}): void {
  for (let at = 0; at < 50; at++) {
    times.record(kind, warmMs, true);
    times.record(kind, unwarmedMs, false);
  }
}

test("the time saved by a cached object is tracked by kind", () => {
  recordSamples("short", { warmMs: 43, unwarmedMs: 144 });
  recordSamples("long", { warmMs: 264, unwarmedMs: 880 });
  expect(times.savedMs("short")).toBe(101);
  expect(times.savedMs("long")).toBe(616);
});

test("a few slow targets and wrong cache assumptions don't change the saved time", () => {
  recordSamples("short", { warmMs: 43, unwarmedMs: 144 });
  for (let at = 0; at < 10; at++) {
    times.record("short", 2_000, true);
    times.record("short", 43, false);
  }
  expect(times.savedMs("short")).toBe(101);
});

test("a kind with too few samples has the default saved time", () => {
  expect(times.savedMs("new")).toBe(300);
  times.record("new", 1_000, false);
  expect(times.savedMs("new")).toBe(300);
});

test("a kind whose times don't differ still prefers its home target", () => {
  recordSamples("alike", { warmMs: 100, unwarmedMs: 100 });
  expect(times.savedMs("alike")).toBe(30);
});
