/**
 * Delivery of the platform's changes when the gateway cannot apply one of them.
 *
 * @module
 */

import { afterEach, beforeEach, expect, test, vi } from "vitest";
import type { Log } from "../log.ts";
import { pause } from "../pause.ts";
import { EventLog } from "./events.ts";
import { type FeedEvent, PlatformFeed } from "./platform_feed.ts";
import type {
  ChangesRequest,
  PlatformEvent,
  PlatformPort,
  RowsPage,
  WatchedSubject,
} from "./ports.ts";
import { memberNamed } from "./testing.ts";

const CONFIGURATION: PlatformEvent = {
  kind: "configuration",
  configuration: {
    version: 2,
    routes: [],
    services: new Map(),
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
    accounts: undefined,
  },
  findings: [],
};

const PAGE: RowsPage = { rows: [], version: 1, era: 1, isTruncated: false };

/** A platform that decodes its configuration only once, as long as its row stays the same. */
class FakePlatform implements PlatformPort {
  #isDecoded = false;

  list(): Promise<RowsPage> {
    return Promise.resolve(PAGE);
  }

  async changes(
    _subject: WatchedSubject,
    { waitMs, signal }: ChangesRequest,
  ): Promise<RowsPage> {
    await pause(waitMs, signal);
    return PAGE;
  }

  decode(subject: WatchedSubject): readonly PlatformEvent[] {
    if (subject !== "operator") {
      return [];
    }
    const evacuations: PlatformEvent = {
      kind: "evacuations",
      zones: new Set(),
    };
    const isFirst = !this.#isDecoded;
    this.#isDecoded = true;
    return isFirst ? [evacuations, CONFIGURATION] : [evacuations];
  }

  isOlder(): boolean {
    return false;
  }

  recordCrashes(): Promise<void> {
    return Promise.resolve();
  }

  register(): Promise<void> {
    return Promise.resolve();
  }

  close(): void {}
}

let lines: unknown[][] = [];
let feed: PlatformFeed | undefined;

function startFeed(listener: (event: FeedEvent) => void): void {
  const write = (...line: unknown[]) => lines.push(line);
  const log = { info: write, warn: write, error: write };
  feed = new PlatformFeed({
    platform: new FakePlatform(),
    log: new EventLog(log as unknown as Log),
    relays: () => [],
    fallbacks: () => [],
    listener,
  });
  feed.start(memberNamed("vm-1"));
}

beforeEach(() => {
  vi.useFakeTimers();
  lines = [];
});

afterEach(() => {
  feed?.close();
  vi.useRealTimers();
});

test("a change that cannot be applied does not keep the others of its read from callers", async () => {
  const kinds: string[] = [];
  startFeed(({ kind }) => {
    kinds.push(kind);
    if (kind === "evacuations") {
      throw new Error("odd zone");
    }
  });
  await vi.advanceTimersByTimeAsync(10);
  expect(kinds).toEqual(["evacuations", "configuration"]);
  expect(lines).toEqual([[
    "rows not applied",
    { subject: "operator", reason: "evacuations: odd zone" },
  ]]);
});

test("a configuration that could not be applied at first is in force a second later", async () => {
  let left = 2;
  const applied: FeedEvent[] = [];
  startFeed((event) => {
    if (event.kind === "configuration" && left-- > 0) {
      throw new Error("not running");
    }
    applied.push(event);
  });
  await vi.advanceTimersByTimeAsync(2_100);
  expect(applied.filter(({ kind }) => kind === "configuration"))
    .toEqual([CONFIGURATION]);
  expect(lines.length).toBe(1);
});
