import { beforeEach, expect, test } from "vitest";
import { KindTimes } from "./kind_times.ts";

let times: KindTimes;

beforeEach(() => {
  times = new KindTimes();
});

function measure(kind: string, { warmMs, coldMs }: {
  warmMs: number;
  coldMs: number;
}): void {
  for (let at = 0; at < 50; at++) {
    times.measured(kind, warmMs, true);
    times.measured(kind, coldMs, false);
  }
}

test("what an object saves is told by kind", () => {
  measure("short", { warmMs: 43, coldMs: 144 });
  measure("long", { warmMs: 264, coldMs: 880 });
  expect(times.savedMs("short")).toBe(101);
  expect(times.savedMs("long")).toBe(616);
});

test("a slow target and a wrong belief now and then change nothing", () => {
  measure("short", { warmMs: 43, coldMs: 144 });
  for (let at = 0; at < 10; at++) {
    times.measured("short", 2_000, true);
    times.measured("short", 43, false);
  }
  expect(times.savedMs("short")).toBe(101);
});

test("a kind that is not known yet is taken for a usual one", () => {
  expect(times.savedMs("new")).toBe(300);
  times.measured("new", 1_000, false);
  expect(times.savedMs("new")).toBe(300);
});

test("a kind whose times do not differ still prefers its home", () => {
  measure("alike", { warmMs: 100, coldMs: 100 });
  expect(times.savedMs("alike")).toBe(30);
});
