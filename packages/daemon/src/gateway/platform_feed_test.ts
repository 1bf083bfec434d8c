/**
 * Delivery of the platform's changes when the gateway cannot apply one of them.
 *
 * @module
 */

import { createServer, type Server, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { loopbackAddress, nextPort } from "../loopback.ts";
import type { Log } from "../log.ts";
import { pause } from "../pause.ts";
import { EventLog } from "./events.ts";
import { type FeedEvent, PlatformFeed } from "./platform_feed.ts";
import type {
  ChangesRequest,
  Member,
  PlatformEvent,
  PlatformPort,
  RowsPage,
  StoredRow,
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

const CHANGED_PAGE: RowsPage = {
  ...PAGE,
  version: 2,
  rows: [{ key: "vm-3", value: Buffer.from("{}"), version: 2 }],
};

/** A platform that decodes its configuration only once, as long as its row stays the same. */
class FakePlatform implements PlatformPort {
  #isDecoded = false;
  /** Resolves when the list of VMs changes. */
  readonly #membersChange: Promise<unknown>;

  constructor(membersChange: Promise<unknown> = new Promise(() => undefined)) {
    this.#membersChange = membersChange;
  }

  list(): Promise<RowsPage> {
    return Promise.resolve(PAGE);
  }

  async changes(
    subject: WatchedSubject,
    { version, waitMs, signal }: ChangesRequest,
  ): Promise<RowsPage> {
    const change = subject === "members" && version === PAGE.version
      ? this.#membersChange
      : new Promise(() => undefined);
    const isChanged = await Promise.race([
      pause(waitMs, signal).then(() => false),
      change.then(() => true),
    ]);
    return isChanged ? CHANGED_PAGE : PAGE;
  }

  decode(
    subject: WatchedSubject,
    rows: ReadonlyMap<string, StoredRow>,
  ): readonly PlatformEvent[] {
    if (subject === "members" && rows.size > 0) {
      return [{ kind: "members", members: [] }];
    }
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

function startFeed(
  listener: (event: FeedEvent) => void,
  { platform = new FakePlatform(), relays = [] }: {
    readonly platform?: FakePlatform;
    readonly relays?: readonly Member[];
  } = {},
): void {
  const write = (...line: unknown[]) => lines.push(line);
  const log = { info: write, warn: write, error: write };
  feed = new PlatformFeed({
    platform,
    log: new EventLog(log as unknown as Log),
    relays: () => relays,
    fallbacks: () => [],
    listener,
    callEnded: () => undefined,
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

test("a configuration that could not be applied is in force as soon as it can be", async () => {
  let isRunning = false;
  let applied = 0;
  startFeed(({ kind }) => {
    if (kind === "configuration") {
      if (!isRunning) {
        throw new Error("not running");
      }
      applied += 1;
    }
  });
  await vi.advanceTimersByTimeAsync(10);
  feed!.deliverAgain();
  expect(applied).toBe(0);
  isRunning = true;
  feed!.deliverAgain();
  expect(applied).toBe(1);
  await vi.advanceTimersByTimeAsync(2_100);
  expect(applied).toBe(1);
});

/** The users' `contact_s`. */
const CONTACT_MS = 4_000;

/** A VM whose connections carry nothing. */
async function silentRelay(): Promise<{ server: Server; relay: Member }> {
  const host = loopbackAddress(240);
  const port = nextPort();
  const server = createServer((socket: Socket) => socket.unref());
  await new Promise<void>((resolve) => server.listen(port, host, resolve));
  server.unref();
  const relay = { ...memberNamed("vm-2"), peerAddress: `${host}:${port}` };
  return { server, relay };
}

// Guards against VMs that learn late what another one wrote to the store, behind a partition.
test("a relay that falls silent is left alone by all subjects", async () => {
  vi.useRealTimers();
  const { server, relay } = await silentRelay();
  let readAt = Infinity;
  const startedAt = performance.now();
  startFeed((event) => {
    if (event.kind === "members") {
      readAt = performance.now() - startedAt;
    }
  }, { platform: new FakePlatform(sleep(500)), relays: [relay] });
  await vi.waitFor(() => expect(readAt).toBeLessThan(Infinity), 10_000);
  server.close();
  expect(readAt).toBeLessThan(CONTACT_MS);
}, 15_000);
