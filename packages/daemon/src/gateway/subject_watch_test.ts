/**
 * Following one subject of the store, directly and through relays.
 *
 * @module
 */

import { afterEach, beforeEach, describe, expect, test, vi } from "vitest";
import { ResponseTooLargeError } from "../json_exchange.ts";
import { pause } from "../pause.ts";
import {
  type ChangesRequest,
  HistoryGoneError,
  type Member,
  type PlatformPort,
  type RowsPage,
  type StoredRow,
} from "./ports.ts";
import type { RelayRequest, RelayResponse } from "./relay.ts";
import { SubjectWatch } from "./subject_watch.ts";
import { memberNamed, seededRandom } from "./testing.ts";

/** A store of one subject in memory. */
class FakeStore {
  readonly rows = new Map<string, StoredRow>();
  version = 0;
  era = 1;
  calls = 0;
  pageSize = 1_000;
  /** Rows of 10,000 bytes without end, as pages or as changes. */
  isEndless = false;
  endlessVersion = 1_000;
  /** More changes are too large for a response. */
  maxChanges = Infinity;
  /** How long it takes to respond. */
  latencyMs = 4;
  /** Calls for changes are answered at once. */
  isHasty = false;
  /** How the store treats calls. */
  mode: "answers" | "refuses" | "hangs" = "answers";
  isOlder: PlatformPort["isOlder"] = () => false;
  /** History before this version is gone. */
  historyFrom = 0;
  readonly #waiters = new Set<() => void>();

  write(key: string, text: string | undefined): void {
    this.version += 1;
    const value = text === undefined ? undefined : Buffer.from(text);
    this.rows.set(key, { key, value, version: this.version });
    this.#waiters.forEach((wake) => wake());
  }

  async list(_subject: string, from: string | undefined): Promise<RowsPage> {
    await this.#receiveCall(undefined);
    if (this.isEndless) {
      return this.#nextPage();
    }
    const rows = [...this.rows.values()]
      .filter(({ key, value }) => value !== undefined && key >= (from ?? ""))
      .toSorted((a, b) => a.key < b.key ? -1 : 1);
    return {
      rows: rows.slice(0, this.pageSize),
      version: this.version,
      era: this.era,
      isTruncated: rows.length > this.pageSize,
    };
  }

  async changes(
    _subject: string,
    { version, waitMs, signal }: ChangesRequest,
  ): Promise<RowsPage> {
    await this.#receiveCall(signal);
    if (this.isEndless) {
      return this.#nextPage();
    }
    if (version < this.historyFrom || version > this.version) {
      throw new HistoryGoneError("gone", this.era);
    }
    const changed = () =>
      [...this.rows.values()].filter((row) => row.version > version)
        .toSorted((a, b) => a.version - b.version);
    if (changed().length === 0 && !this.isHasty) {
      await this.#nextChange(waitMs, signal);
    }
    if (changed().length > this.maxChanges) {
      throw new ResponseTooLargeError();
    }
    return {
      rows: changed(),
      version: this.version,
      era: this.era,
      isTruncated: false,
    };
  }

  /** A page after which another one follows. */
  #nextPage(): RowsPage {
    const value = Buffer.alloc(10_000);
    const rows = Array.from({ length: 100 }, (_, at) => ({
      key: `endless-${this.calls}-${at}`,
      value,
      version: ++this.endlessVersion,
    }));
    const { era, endlessVersion: version } = this;
    return { rows, version, era, isTruncated: true };
  }

  /** Rows and version, to be restored later. */
  copy() {
    return { rows: new Map(this.rows), version: this.version };
  }

  /** Goes back to a copy: its versions are given out again. */
  restore({ rows, version }: ReturnType<FakeStore["copy"]>): void {
    this.rows.clear();
    rows.forEach((row, key) => this.rows.set(key, row));
    this.version = version;
    this.era += 1;
  }

  async #receiveCall(signal: AbortSignal | undefined): Promise<void> {
    this.calls += 1;
    if (this.mode === "refuses") {
      throw new Error("refused");
    }
    if (this.mode === "hangs") {
      await pause(60_000, signal);
      throw new Error("no answer");
    }
    await pause(this.latencyMs, signal);
    signal?.throwIfAborted();
  }

  #nextChange(ms: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      const done = () => {
        clearTimeout(timer);
        this.#waiters.delete(done);
        resolve();
      };
      const timer = setTimeout(done, ms);
      this.#waiters.add(done);
      signal.addEventListener("abort", () => reject(signal.reason));
    });
  }
}

/** A VM's watch, with the rows and states that its listener received. */
class Vm {
  readonly watch: SubjectWatch;
  readonly member: Member;
  /** VMs that it uses as relays, best first. */
  relays: readonly Vm[] = [];
  fallbacks: readonly Vm[] = [];
  rows = new Map<string, string>();
  /** Changes of connectivity, "lost" or "regained". */
  readonly connectivity: string[] = [];
  /** How many times its listener still fails to apply rows. */
  failures = 0;
  /** Relays cannot be reached, as in a network partition. */
  areRelaysUnreachable = false;
  readonly #goneRelay: () => void;

  /** `goneRelay` throws if its first relay is gone. */
  constructor(
    name: string,
    store: FakeStore,
    goneRelay: () => void = () => undefined,
  ) {
    this.#goneRelay = goneRelay;
    this.member = memberNamed(name);
    this.watch = new SubjectWatch("targets", {
      store,
      relays: (excluded) =>
        this.relays.map((relay) => relay.member)
          .filter(({ vm }) => !excluded.has(vm)).slice(0, 2),
      fallbacks: () => this.fallbacks.map((vm) => vm.member),
      queryRelay: (relay, request) => this.#query(relay, request),
      listener: {
        rowsChanged: (rows) => {
          if (this.failures-- > 0) {
            throw new Error("odd row");
          }
          this.rows = new Map(
            [...rows.values()].map(({ key, value }) => [key, String(value)]),
          );
        },
        connectivityChanged: (isLost) =>
          this.connectivity.push(isLost ? "lost" : "regained"),
        relayUnresponsive: () => undefined,
        relaySkipped: () => undefined,
        callEnded: () => undefined,
        readLate: () => undefined,
        sourceSlow: () => undefined,
        responseNotUsed: () => undefined,
        rowsNotApplied: () => undefined,
        claimRefuted: () => undefined,
        restored: () => undefined,
      },
    });
    vms.push(this);
    void this.watch.run();
  }

  async #query(relay: Member, request: RelayRequest): Promise<RelayResponse> {
    if (this.areRelaysUnreachable) {
      await pause(1_500);
      throw new Error("no answer");
    }
    const queried = [...this.relays, ...this.fallbacks]
      .find(({ member }) => member === relay)!;
    if (queried === this.relays[0]) {
      this.#goneRelay();
    }
    const response = await queried.watch.changesAfter(request);
    await pause(1);
    if (queried === this.relays[0]) {
      this.#goneRelay();
    }
    if (response === undefined) {
      throw new Error("nothing read yet");
    }
    return response;
  }
}

/** Time within which all VMs must have the store's changes after its return: the users' `contact_s` and `config_apply_s`. */
const RECOVERY_MS = 5_500;

let store: FakeStore;
let vms: Vm[] = [];

/** Calls to the store and oldest rows in a region of 22 VMs while the store refuses the first `refused` of them for nine seconds. */
async function callsOfRegion(
  refused: number,
): Promise<{ calls: number; oldestMs: number }> {
  const stores = Array.from({ length: 22 }, () => new FakeStore());
  stores.forEach((each) => each.write("t-0", "ready"));
  const all = stores.map((each, at) => new Vm(`vm-${at}`, each));
  all.forEach((vm, at) => {
    vm.relays = all.slice(0, at);
    vm.fallbacks = all.slice(at + 1, at + 3);
  });
  await vi.advanceTimersByTimeAsync(4_000);
  const totalCalls = () => stores.reduce((sum, { calls }) => sum + calls, 0);
  const before = totalCalls();
  stores.slice(0, refused).forEach((each) => each.mode = "refuses");
  await vi.advanceTimersByTimeAsync(9_000);
  const ages = all.map(({ watch }) => watch.readAgeMs);
  return { calls: totalCalls() - before, oldestMs: Math.max(...ages) };
}

beforeEach(() => {
  vi.useFakeTimers();
  vms = [];
  store = new FakeStore();
  store.write("t-0", "ready");
});

afterEach(() => {
  vms.forEach(({ watch }) => watch.close());
  vi.useRealTimers();
});

describe("the store itself", () => {
  test("is read completely, in several pages", async () => {
    store.pageSize = 500;
    for (let at = 0; at < 1_100; at++) {
      store.write(`row-${at}`, "x");
    }
    const vm = new Vm("vm-1", store);
    await vi.advanceTimersByTimeAsync(50);
    expect(vm.rows.size).toBe(1_101);
  });

  test("is read page by page when the changes are too large for a response", async () => {
    // After a long outage the same changes would be asked for again and again.
    store.maxChanges = 50;
    const vm = new Vm("vm-1", store);
    await vi.advanceTimersByTimeAsync(50);
    for (let at = 0; at < 100; at++) {
      store.write(`row-${at}`, "x");
    }
    await vi.advanceTimersByTimeAsync(500);
    expect(vm.rows.size).toBe(101);
    expect(vm.connectivity).toEqual([]);
  });

  test("is not read without end, and a VM that starts reads it once it is sound", async () => {
    // The rows would fill the memory of the VM.
    store.isEndless = true;
    const vm = new Vm("vm-1", store);
    await vi.advanceTimersByTimeAsync(3_000);
    expect(vm.rows.size).toBe(0);
    expect(vm.connectivity).toEqual(["lost"]);
    store.isEndless = false;
    await vi.advanceTimersByTimeAsync(2_000);
    expect([...vm.rows.keys()]).toEqual(["t-0"]);
  });

  test.each([1, 2, 9, 16])(
    "is read again if it becomes sound after page %i of a read",
    async (pages) => {
      // Rows of a store that is gone would stay in use.
      store.isEndless = true;
      const vm = new Vm("vm-1", store);
      await vi.advanceTimersByTimeAsync(
        store.latencyMs * pages + store.latencyMs / 2,
      );
      store.isEndless = false;
      await vi.advanceTimersByTimeAsync(2_000);
      expect([...vm.rows.keys()]).toEqual(["t-0"]);
    },
  );

  test("adds no rows without end to those known, which stay in use", async () => {
    // The rows would fill the memory of the VM.
    const vm = new Vm("vm-1", store);
    await vi.advanceTimersByTimeAsync(50);
    store.isEndless = true;
    await vi.advanceTimersByTimeAsync(10_000);
    expect(vm.rows.size).toBeLessThan(2_000);
    expect(vm.rows.get("t-0")).toBe("ready");
    expect(vm.connectivity).toContain("lost");
    store.isEndless = false;
    store.version = store.endlessVersion;
    store.write("t-1", "x".repeat(1_100_000));
    await vi.advanceTimersByTimeAsync(2_000);
    expect([...vm.rows.keys()].toSorted()).toEqual(["t-0", "t-1"]);
  });

  test("that does not wait for changes is not read in a busy loop", async () => {
    // Each call is billed, and takes processor time from callers.
    store.isHasty = true;
    const vm = new Vm("vm-1", store);
    await vi.advanceTimersByTimeAsync(10_000);
    expect(store.calls).toBeLessThan(150);
    store.write("t-1", "ready");
    await vi.advanceTimersByTimeAsync(200);
    expect(vm.rows.has("t-1")).toBe(true);
  });

  test("is called again for a change that a peer has seen", async () => {
    // The connection on which this VM waits for changes is dead, without a reset. A
    // peer gets a change and reports its version. If this VM kept waiting, it would send
    // requests to targets that are gone until the call times out.
    const vm = new Vm("vm-1", store);
    await vi.advanceTimersByTimeAsync(10);
    store.mode = "hangs";
    await vi.advanceTimersByTimeAsync(1_100);
    store.mode = "answers";
    store.write("t-1", "ready");
    vm.watch.hint(store);
    await vi.advanceTimersByTimeAsync(400);
    expect(vm.rows.has("t-1")).toBe(true);
  });

  test.each([350, 500, 800])(
    "is read though it responds after %i ms and peers keep naming newer versions",
    async (latencyMs) => {
      // A call that is given up before the store can respond begins anew, each time.
      const vm = new Vm("vm-1", store);
      await vi.advanceTimersByTimeAsync(1_500);
      store.latencyMs = latencyMs;
      store.write("t-1", "ready");
      await vi.advanceTimersByTimeAsync(20);
      store.write("t-2", "ready");
      for (let ms = 0; ms < 2_500; ms += 30) {
        vm.watch.hint(store);
        await vi.advanceTimersByTimeAsync(30);
      }
      expect(vm.rows.has("t-2")).toBe(true);
    },
  );

  test("is not taken for lost when a change cannot be applied, which is tried again", async () => {
    const vm = new Vm("vm-1", store);
    const follower = new Vm("vm-2", store);
    follower.relays = [vm];
    await vi.advanceTimersByTimeAsync(2_000);
    vm.failures = 2;
    follower.failures = 1;
    store.write("t-1", "ready");
    await vi.advanceTimersByTimeAsync(2_100);
    expect([vm, follower].map(({ rows }) => rows.get("t-1")))
      .toEqual(["ready", "ready"]);
    expect(vm.connectivity).toEqual([]);
    expect(follower.connectivity).toEqual([]);
  });

  test("is not called again for a removal from before this VM started", async () => {
    store.write("t-1", "ready");
    const peer = new Vm("vm-1", store);
    await vi.advanceTimersByTimeAsync(10);
    store.write("t-1", undefined);
    await vi.advanceTimersByTimeAsync(2_000);
    const vm = new Vm("vm-2", store);
    await vi.advanceTimersByTimeAsync(10);
    const before = store.calls;
    for (let at = 0; at < 10; at++) {
      vm.watch.hint(peer.watch.newest);
      await vi.advanceTimersByTimeAsync(500);
    }
    expect(store.calls - before).toBeLessThanOrEqual(10);
  });

  test("is read completely if its history is gone", async () => {
    const vm = new Vm("vm-1", store);
    await vi.advanceTimersByTimeAsync(10);
    store.historyFrom = 1_000;
    store.write("t-0", undefined);
    await vi.advanceTimersByTimeAsync(1_500);
    expect([...vm.rows.keys()]).toEqual([]);
  });

  test("that keeps no history is not read in a busy loop", async () => {
    // Each call for changes is answered with "history gone". Called without a pause,
    // the store would have no time for others, and each call is billed.
    store.historyFrom = Infinity;
    new Vm("vm-1", store);
    await vi.advanceTimersByTimeAsync(3_000);
    expect(store.calls).toBeLessThan(50);
  });

  test("is called only a few times for changes that come together", async () => {
    const vm = new Vm("vm-1", store);
    await vi.advanceTimersByTimeAsync(100);
    const before = store.calls;
    for (let at = 0; at < 60; at++) {
      store.write(`row-${at}`, "x");
      await vi.advanceTimersByTimeAsync(5);
    }
    await vi.advanceTimersByTimeAsync(200);
    expect(vm.rows.size).toBe(61);
    expect(store.calls - before).toBeLessThan(6);
  });
});

describe("a relay", () => {
  test("passes changes on at once and saves calls to the store", async () => {
    const first = new Vm("vm-1", store);
    const others = Array.from({ length: 20 }, (_, at) => {
      const vm = new Vm(`vm-${at + 2}`, store);
      vm.relays = [first];
      return vm;
    });
    await vi.advanceTimersByTimeAsync(2_000);
    const before = store.calls;
    store.write("t-1", "ready");
    await vi.advanceTimersByTimeAsync(20);
    others.forEach(({ rows }) => expect(rows.has("t-1")).toBe(true));
    await vi.advanceTimersByTimeAsync(10_000);
    expect(store.calls - before).toBeLessThan(15);
  });

  test("that is partitioned from the store does not delay changes", async () => {
    // The relay of a region is cut off from the store: its packets are dropped. The
    // other VMs still reach the store, so they must follow what operators write there. A
    // VM that waited for the relay's call to end would keep sending to targets that leave.
    const first = new Vm("vm-1", store);
    await vi.advanceTimersByTimeAsync(10);
    const reachable = new FakeStore();
    reachable.write("t-0", "ready");
    const second = new Vm("vm-2", reachable);
    second.relays = [first];
    await vi.advanceTimersByTimeAsync(1_500);
    store.mode = "hangs";
    await vi.advanceTimersByTimeAsync(1_000);
    reachable.version = 10;
    reachable.write("t-0", "draining");
    const before = reachable.calls;
    await vi.advanceTimersByTimeAsync(2_000);
    expect(reachable.calls).toBeGreaterThan(before);
    expect(second.rows.get("t-0")).toBe("draining");
    expect(second.connectivity).toEqual([]);
  });

  test("whose rows are stale makes one VM call the store, not all that use it", async () => {
    // The store drops its history and doesn't respond to the relay for two seconds. The
    // 60 VMs that use the relay notice that at the same moment. If each of them read the
    // store, that would be more calls at once than otherwise in a quiet day.
    const callsWith = async (followers: number) => {
      const reachable = new FakeStore();
      reachable.write("t-0", "ready");
      const stuck = new FakeStore();
      stuck.write("t-0", "ready");
      const first = new Vm("vm-1", stuck);
      const second = new Vm("vm-2", reachable);
      second.relays = [first];
      const others = Array.from({ length: followers }, (_, at) => {
        const vm = new Vm(`vm-${at + 3}`, reachable);
        vm.relays = [first, second];
        return vm;
      });
      await vi.advanceTimersByTimeAsync(1_500);
      const before = reachable.calls;
      stuck.mode = "hangs";
      reachable.version = 10;
      await vi.advanceTimersByTimeAsync(2_000);
      reachable.write("t-1", "ready");
      await vi.advanceTimersByTimeAsync(2_000);
      expect(others.every(({ rows }) => rows.has("t-1"))).toBe(true);
      expect(others.flatMap(({ connectivity }) => connectivity)).toEqual([]);
      return reachable.calls - before;
    };
    const alone = await callsWith(0);
    expect(await callsWith(60)).toBeLessThanOrEqual(alone + 2);
  });

  test.each([22, 65])(
    "that is gone is replaced by one VM, not by all %i that use it",
    async (others) => {
      // Guards against a relay in whose place all VMs of the region call the store, because the next one waits for changes until its rows are stale.
      let isGone = false;
      const gone = () => {
        if (isGone) {
          throw new Error("connection refused");
        }
      };
      const first = new Vm("vm-1", store);
      const users = Array.from(
        { length: others },
        (_, at) => new Vm(`vm-${at + 2}`, store, gone),
      );
      users.forEach((vm, at) => vm.relays = [first, ...users.slice(0, at)]);
      const lateCalls: number[] = [];
      for (let round = 0; round < 10; round++) {
        isGone = false;
        await vi.advanceTimersByTimeAsync(5_000 + round * 100);
        isGone = true;
        const before = store.calls;
        await vi.advanceTimersByTimeAsync(2_500);
        lateCalls.push(store.calls - before);
      }
      expect(Math.max(...lateCalls)).toBeLessThan(10);
    },
  );

  test("that cannot be reached is skipped", async () => {
    const first = new Vm("vm-1", store);
    const vm = new Vm("vm-2", store);
    vm.relays = [first];
    await vi.advanceTimersByTimeAsync(1_500);
    vm.areRelaysUnreachable = true;
    store.write("t-1", "ready");
    await vi.advanceTimersByTimeAsync(2_500);
    expect(vm.rows.has("t-1")).toBe(true);
    expect(vm.connectivity).toEqual([]);
  });

  test("supplies a VM that the store refuses", async () => {
    // The store refuses one VM and serves the others and the operators. The VM has just
    // started and has no rows: without its peers it would have to refuse all requests.
    const first = new Vm("vm-1", store);
    await vi.advanceTimersByTimeAsync(10);
    const refusing = new FakeStore();
    refusing.mode = "refuses";
    const vm = new Vm("vm-2", refusing);
    vm.relays = [first];
    await vi.advanceTimersByTimeAsync(1_500);
    expect(vm.rows.has("t-0")).toBe(true);
    store.write("t-1", "ready");
    await vi.advanceTimersByTimeAsync(50);
    expect(vm.rows.has("t-1")).toBe(true);
  });

  test("that the store refuses is supplied by the VMs that use it", async () => {
    // The store refuses the relay of a region, which has no relay itself. Without
    // fallbacks it would not learn of revoked keys and would have to refuse its callers.
    const refusing = new FakeStore();
    refusing.write("t-0", "ready");
    const first = new Vm("vm-1", refusing);
    const second = new Vm("vm-2", store);
    second.relays = [first];
    first.fallbacks = [second];
    await vi.advanceTimersByTimeAsync(2_000);
    refusing.mode = "refuses";
    const ages: number[] = [];
    for (let at = 0; at < 90; at++) {
      await vi.advanceTimersByTimeAsync(100);
      ages.push(first.watch.readAgeMs);
    }
    expect(Math.max(...ages)).toBeLessThan(3_800);
    store.version = 10;
    store.write("t-1", "ready");
    await vi.advanceTimersByTimeAsync(2_000);
    expect(first.rows.has("t-1")).toBe(true);
  });

  test("that the store refused for a while reads it again", async () => {
    // Guards against a VM that gets old rows from others for good, and that others pass over as a relay.
    const refusing = new FakeStore();
    refusing.write("t-0", "ready");
    const first = new Vm("vm-1", refusing);
    const second = new Vm("vm-2", store);
    first.fallbacks = [second];
    await vi.advanceTimersByTimeAsync(2_000);
    refusing.mode = "refuses";
    await vi.advanceTimersByTimeAsync(2_000);
    refusing.mode = "answers";
    await vi.advanceTimersByTimeAsync(RECOVERY_MS);
    const before = refusing.calls;
    refusing.version = 10;
    refusing.write("t-1", "ready");
    await vi.advanceTimersByTimeAsync(60_000);
    expect(refusing.calls - before).toBeGreaterThan(30);
    expect(first.rows.has("t-1")).toBe(true);
  });

  test("that the store refused is replaced by the next one", async () => {
    // The store refuses the two VMs that rank highest in their region. If all 20 others
    // called the store instead, that would be twenty times the calls.
    const { calls, oldestMs } = await callsOfRegion(2);
    expect(calls).toBeLessThan(40);
    expect(oldestMs).toBeLessThan(3_800);
  });

  test.each([222, 344])(
    // Guards against followers that wait for a relay that has lost the store, and then all call it.
    "that the store refused is replaced at once, whatever the pauses between calls (seed %i)",
    async (seed) => {
      const random = vi.spyOn(Math, "random")
        .mockImplementation(seededRandom(seed));
      const { calls, oldestMs } = await callsOfRegion(2);
      random.mockRestore();
      expect(calls).toBeLessThan(40);
      expect(oldestMs).toBeLessThan(3_800);
    },
  );

  test("does not make all VMs call a store that nobody reaches", async () => {
    // If VMs took each other's last rows as a sign of a working store, they would
    // exclude each other as relays until each of them calls the store itself.
    const { calls } = await callsOfRegion(22);
    expect(calls).toBeLessThan(100);
  });

  test("notices the store's return after all VMs have lost it", async () => {
    // No VM can learn of the return from another one.
    const regions = ["a", "b", "c"].map((region) =>
      Array.from({ length: 4 }, (_, at) => new Vm(`${region}-${at}`, store))
    );
    for (const region of regions) {
      const otherRegions = regions.filter((other) => other !== region)
        .flatMap((other) => other.slice(0, 2));
      region.forEach((vm, at) => {
        vm.relays = region.slice(0, at);
        vm.fallbacks = [...region.slice(at + 1, at + 3), ...otherRegions];
      });
    }
    await vi.advanceTimersByTimeAsync(3_000);
    store.mode = "refuses";
    await vi.advanceTimersByTimeAsync(6_000);
    store.mode = "answers";
    store.write("t-1", "ready");
    await vi.advanceTimersByTimeAsync(RECOVERY_MS);
    expect(vms.filter(({ rows }) => !rows.has("t-1"))).toEqual([]);
  });

  test("that the store refused is not queried in a busy loop", async () => {
    // The store refuses three VMs that have only each other: they respond at once.
    const refusing = new FakeStore();
    refusing.write("t-0", "ready");
    const all = ["a", "b", "c"].map((name) => new Vm(name, refusing));
    all.forEach((vm) => vm.fallbacks = all.filter((other) => other !== vm));
    await vi.advanceTimersByTimeAsync(2_000);
    refusing.mode = "refuses";
    const queried = vi.spyOn(all[0]!.watch, "changesAfter");
    await vi.advanceTimersByTimeAsync(5_000);
    expect(queried.mock.calls.length).toBeLessThan(60);
  });

  test("adds only the time of the response's transfer to the age of the rows", async () => {
    const first = new Vm("vm-1", store);
    const vm = new Vm("vm-2", store);
    vm.relays = [first];
    await vi.advanceTimersByTimeAsync(5_000);
    for (let at = 0; at < 30; at++) {
      await vi.advanceTimersByTimeAsync(100);
      expect(vm.watch.readAgeMs).toBeGreaterThanOrEqual(
        Math.floor(first.watch.readAgeMs),
      );
      expect(vm.watch.readAgeMs).toBeLessThan(2_200);
    }
  });

  test("reports that it had lost the store, together with the expired entries", async () => {
    // During an outage of the store, entries of living targets expire. The relay gets
    // the removals when the store is back. A VM that only used the relay has not noticed
    // the outage; it must not treat the targets as gone.
    const first = new Vm("vm-1", store);
    const vm = new Vm("vm-2", store);
    vm.relays = [first];
    await vi.advanceTimersByTimeAsync(1_500);
    store.mode = "refuses";
    await vi.advanceTimersByTimeAsync(1_100);
    store.write("t-0", undefined);
    store.mode = "answers";
    await vi.advanceTimersByTimeAsync(3_000);
    expect(vm.rows.has("t-0")).toBe(false);
    expect(vm.connectivity).toEqual(["lost", "regained"]);
  });

  test("that notices the store's return late leaves no other VM unaware of the outage", async () => {
    // The store is back, but the relay pauses before its next call. If its rows became
    // stale meanwhile, the other VM would call the store itself and read that entries
    // have expired, without having seen the outage. If it treated those targets as
    // gone, it would refuse callers because there are no targets.
    const random = vi.spyOn(Math, "random");
    [0, 0, 0, 0.999].forEach((value) => random.mockReturnValueOnce(value));
    const first = new Vm("vm-1", store);
    const vm = new Vm("vm-2", store);
    vm.relays = [first];
    await vi.advanceTimersByTimeAsync(1_500);
    store.mode = "refuses";
    await vi.advanceTimersByTimeAsync(1_100);
    store.write("t-0", undefined);
    store.mode = "answers";
    await vi.advanceTimersByTimeAsync(3_000);
    random.mockRestore();
    expect(vm.rows.has("t-0")).toBe(false);
    expect(vm.connectivity).toEqual(["lost", "regained"]);
  });

  test("saves calls to a store that is away, and its return is noticed soon", async () => {
    const first = new Vm("vm-1", store);
    const vm = new Vm("vm-2", store);
    vm.relays = [first];
    await vi.advanceTimersByTimeAsync(1_500);
    store.mode = "refuses";
    await vi.advanceTimersByTimeAsync(2_000);
    const before = store.calls;
    await vi.advanceTimersByTimeAsync(10_000);
    expect(store.calls - before).toBeLessThan(30);
    store.mode = "answers";
    store.write("t-1", "ready");
    await vi.advanceTimersByTimeAsync(2_000);
    expect(vm.rows.has("t-1")).toBe(true);
  });
});

describe("a store that is restored from a copy", () => {
  /** `config_apply_s` of the users, the shortest of their bounds for changes. */
  const APPLY_MS = 2_500;

  /** A region of six VMs, of which the first reads the store for the others, ten changes after `copy` was made. */
  async function startRegion() {
    const all = Array.from({ length: 6 }, (_, at) => new Vm(`vm-${at}`, store));
    all.forEach((vm, at) => {
      vm.relays = all.slice(0, at);
      vm.fallbacks = all.slice(at + 1, at + 3);
    });
    await vi.advanceTimersByTimeAsync(2_000);
    const copy = store.copy();
    for (let at = 0; at < 10; at++) {
      store.write("t-0", `ready ${at}`);
    }
    await vi.advanceTimersByTimeAsync(2_000);
    return { all, copy };
  }

  test("passes on what is written after an outage, though it has lower versions", async () => {
    const { all, copy } = await startRegion();
    store.mode = "refuses";
    await vi.advanceTimersByTimeAsync(2_000);
    store.restore(copy);
    store.mode = "answers";
    await vi.advanceTimersByTimeAsync(2_000);
    store.write("t-1", "leaving");
    await vi.advanceTimersByTimeAsync(APPLY_MS);
    expect(all.map(({ rows }) => rows.get("t-1")))
      .toEqual(all.map(() => "leaving"));
  });

  test("hides no change when its versions have overtaken those from before", async () => {
    const { all, copy } = await startRegion();
    store.restore(copy);
    store.write("t-1", "leaving");
    for (let at = 0; at < 20; at++) {
      store.write("t-2", `ready ${at}`);
    }
    await vi.advanceTimersByTimeAsync(APPLY_MS);
    expect(all.map(({ rows }) => rows.get("t-1")))
      .toEqual(all.map(() => "leaving"));
  });

  /** A region whose store comes back from the copy after an outage; rows bear rising numbers. */
  async function restoredRegion() {
    const numberIn = ({ value }: StoredRow) =>
      Number(/\d+/.exec(String(value))?.[0] ?? -1);
    store.isOlder = (_subject, row, than) => numberIn(row) < numberIn(than);
    const { all, copy } = await startRegion();
    store.mode = "refuses";
    await vi.advanceTimersByTimeAsync(2_000);
    store.restore(copy);
    store.mode = "answers";
    await vi.advanceTimersByTimeAsync(2_000);
    return all;
  }

  /** The different texts of a row on the VMs. */
  function textsOn(all: readonly Vm[]): readonly (string | undefined)[] {
    return [...new Set(all.map(({ rows }) => rows.get("t-0")))];
  }

  test("passes on in time what goes on from the copy with a lower number", async () => {
    const all = await restoredRegion();
    expect(textsOn(all)).toEqual(["ready 9"]);
    store.write("t-0", "leaving 3");
    await vi.advanceTimersByTimeAsync(APPLY_MS);
    expect(textsOn(all)).toEqual(["leaving 3"]);
  });

  test("takes no VM back while rows are written again in order", async () => {
    const all = await restoredRegion();
    const texts: (readonly (string | undefined)[])[] = [];
    store.write("t-0", "ready 8");
    for (let ms = 0; ms < 4_000; ms += 50) {
      if (ms === 700) {
        store.write("t-0", "ready 9");
      }
      await vi.advanceTimersByTimeAsync(50);
      texts.push(textsOn(all));
    }
    expect(new Set(texts.flat())).toEqual(new Set(["ready 9"]));
  });
});

test("a VM whose call of the store brings nothing gets what peers know from another region", async () => {
  // Its way to the store is slow, and no relay stands above it.
  const elsewhere = new FakeStore();
  elsewhere.write("t-0", "ready");
  const other = new Vm("vm-9", elsewhere);
  const vm = new Vm("vm-1", store);
  vm.fallbacks = [other];
  await vi.advanceTimersByTimeAsync(500);
  store.mode = "hangs";
  await vi.advanceTimersByTimeAsync(1_000);
  elsewhere.write("t-1", "ready");
  await vi.advanceTimersByTimeAsync(100);
  vm.watch.hint(other.watch.newest);
  await vi.advanceTimersByTimeAsync(1_000);
  expect(vm.rows.get("t-1")).toBe("ready");
});

test("a relay that does not wait for changes is not asked in a busy loop", async () => {
  // Each request takes processor time from the callers of both VMs.
  const relay = new Vm("vm-1", store);
  const vm = new Vm("vm-2", store);
  let requests = 0;
  const { watch } = relay;
  const changesAfter = watch.changesAfter.bind(watch);
  watch.changesAfter = (request) => {
    requests += 1;
    return changesAfter({ ...request, waitMs: 0 });
  };
  vm.relays = [relay];
  await vi.advanceTimersByTimeAsync(10_000);
  expect(requests).toBeLessThan(150);
  expect(requests).toBeGreaterThan(0);
  store.write("t-1", "ready");
  await vi.advanceTimersByTimeAsync(300);
  expect(vm.rows.has("t-1")).toBe(true);
});
