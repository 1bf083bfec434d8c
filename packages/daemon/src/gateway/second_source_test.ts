/**
 * Asking further sources while the one in use is slow, with sources that the test
 * answers for.
 *
 * @module
 */

import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { pause } from "../pause.ts";
import { SecondSource, type Source } from "./second_source.ts";
import { memberNamed } from "./testing.ts";

const STORE: Source = { kind: "store" };
const [FIRST, SECOND] = ["vm-1", "vm-2"].map((vm): Source => ({
  kind: "relay",
  relay: memberNamed(vm),
}));

let slowAt: number;
let asked: { readonly source: string; readonly at: number }[];
let aborted: string[];
let respond: (source: string, signal: AbortSignal) => Promise<void>;
let secondSource: SecondSource;

function nameOf(source: Source): string {
  return source.kind === "store" ? "store" : source.relay.vm;
}

/** What was asked, in order. */
function askedSources(): readonly string[] {
  return asked.map(({ source }) => source);
}

beforeEach(() => {
  vi.useFakeTimers();
  slowAt = performance.now() + 500;
  asked = [];
  aborted = [];
  respond = async (source, signal) => {
    await pause(60_000, signal);
    aborted.push(source);
  };
  secondSource = new SecondSource({
    slowAt: () => slowAt,
    sources: () => [FIRST!, SECOND!, STORE],
    read: (source, signal) => {
      asked.push({ source: nameOf(source), at: performance.now() });
      return respond(nameOf(source), signal);
    },
  });
  secondSource.update();
});

afterEach(() => {
  secondSource.close();
  vi.useRealTimers();
});

test("a source that responds in time has none beside it", async () => {
  await vi.advanceTimersByTimeAsync(400);
  slowAt += 10_000;
  secondSource.update();
  await vi.advanceTimersByTimeAsync(5_000);
  expect(asked).toEqual([]);
});

test("the store is asked within a second and a half, however long the others take", async () => {
  // Waits that are bounded one by one add up.
  const startedAt = performance.now();
  await vi.advanceTimersByTimeAsync(1_500);
  expect(askedSources()).toEqual(["vm-1", "vm-2", "store"]);
  expect(asked[2]!.at - startedAt).toBeLessThan(1_500);
});

test("the next source is asked at once after one that fails", async () => {
  const startedAt = performance.now();
  respond = () => Promise.reject(new Error("refused"));
  await vi.advanceTimersByTimeAsync(600);
  expect(askedSources()).toEqual(["vm-1", "vm-2", "store"]);
  expect(asked[2]!.at - startedAt).toBeLessThan(600);
});

test("the others are left when one has brought what was missing", async () => {
  respond = async (source, signal) => {
    if (source === "vm-2") {
      slowAt = performance.now() + 10_000;
      return;
    }
    await pause(60_000, signal);
    aborted.push(source);
  };
  await vi.advanceTimersByTimeAsync(3_000);
  expect(askedSources()).toEqual(["vm-1", "vm-2"]);
  expect(aborted).toEqual(["vm-1"]);
});

test("sources that all fail are asked again after a pause", async () => {
  respond = () => Promise.reject(new Error("refused"));
  await vi.advanceTimersByTimeAsync(5_000);
  expect(asked.length).toBeGreaterThan(6);
  expect(asked.length).toBeLessThanOrEqual(15);
});

test("a VM that was late itself reads what has arrived before it asks others", async () => {
  // Without processor time, every source looks slow.
  vi.useRealTimers();
  slowAt = performance.now() + 20;
  secondSource.update();
  const until = performance.now() + 300;
  while (performance.now() < until) {
    // The VM has no processor time.
  }
  await pause(40);
  expect(asked).toEqual([]);
  await pause(200);
  expect(askedSources()).toEqual(["vm-1"]);
});
