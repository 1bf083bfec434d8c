/**
 * Following one subject, from the store and from relays.
 *
 * @module
 */

import { afterEach, beforeEach, describe, expect, test, vi } from "vitest";
import { pause } from "../pause.ts";
import {
  type ChangesQuestion,
  HistoryGoneError,
  type Member,
  type RowsPage,
  type StoredRow,
} from "./ports.ts";
import type { RelayNews, RelayQuestion } from "./relay.ts";
import { SubjectWatch } from "./subject_watch.ts";
import { memberNamed } from "./testing.ts";

/** A store of one subject in memory. */
class FakeStore {
  readonly rows = new Map<string, StoredRow>();
  version = 0;
  calls = 0;
  pageSize = 1_000;
  /** What calls do. */
  mode: "answers" | "refuses" | "hangs" = "answers";
  /** History before this version is gone. */
  historyFrom = 0;
  readonly #waiting = new Set<() => void>();

  write(key: string, text: string | undefined): void {
    this.version += 1;
    const value = text === undefined ? undefined : Buffer.from(text);
    this.rows.set(key, { key, value, version: this.version });
    this.#waiting.forEach((wake) => wake());
  }

  async list(_subject: string, from: string | undefined): Promise<RowsPage> {
    await this.#enter(undefined);
    const rows = [...this.rows.values()]
      .filter(({ key, value }) => value !== undefined && key >= (from ?? ""))
      .toSorted((a, b) => a.key < b.key ? -1 : 1);
    return {
      rows: rows.slice(0, this.pageSize),
      version: this.version,
      isTruncated: rows.length > this.pageSize,
    };
  }

  async changes(
    _subject: string,
    { version, waitMs, signal }: ChangesQuestion,
  ): Promise<RowsPage> {
    await this.#enter(signal);
    if (version < this.historyFrom) {
      throw new HistoryGoneError("gone");
    }
    const changed = () =>
      [...this.rows.values()].filter((row) => row.version > version)
        .toSorted((a, b) => a.version - b.version);
    if (changed().length === 0) {
      await this.#change(waitMs, signal);
    }
    return { rows: changed(), version: this.version, isTruncated: false };
  }

  async #enter(signal: AbortSignal | undefined): Promise<void> {
    this.calls += 1;
    if (this.mode === "refuses") {
      throw new Error("refused");
    }
    if (this.mode === "hangs") {
      await pause(60_000, signal);
      throw new Error("no answer");
    }
    await pause(4);
  }

  #change(ms: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      const done = () => {
        clearTimeout(timer);
        this.#waiting.delete(done);
        resolve();
      };
      const timer = setTimeout(done, ms);
      this.#waiting.add(done);
      signal.addEventListener("abort", () => reject(signal.reason));
    });
  }
}

/** A VM's watch, with what it was told. */
class Vm {
  readonly watch: SubjectWatch;
  readonly member: Member;
  /** VMs that it asks. */
  relays: readonly Vm[] = [];
  fallbacks: readonly Vm[] = [];
  rows = new Map<string, string>();
  /** "lost" and "regained", in turn. */
  readonly contact: string[] = [];
  /** Relays cannot be reached, as behind a cut. */
  areRelaysSilent = false;

  constructor(name: string, store: FakeStore) {
    this.member = memberNamed(name);
    this.watch = new SubjectWatch("targets", {
      store,
      relays: (except) =>
        this.relays.map((relay) => relay.member)
          .filter(({ vm }) => !except.has(vm)).slice(0, 2),
      fallbacks: () => this.fallbacks.map((vm) => vm.member),
      askRelay: (relay, question) => this.#ask(relay, question),
      listener: {
        changed: (rows) => {
          this.rows = new Map(
            [...rows.values()].map(({ key, value }) => [key, String(value)]),
          );
        },
        contact: (isLost) => this.contact.push(isLost ? "lost" : "regained"),
        relayLeft: () => undefined,
      },
    });
    vms.push(this);
    void this.watch.run();
  }

  async #ask(relay: Member, question: RelayQuestion): Promise<RelayNews> {
    if (this.areRelaysSilent) {
      await pause(1_500);
      throw new Error("no answer");
    }
    const asked = [...this.relays, ...this.fallbacks]
      .find(({ member }) => member === relay)!;
    const news = await asked.watch.newsAfter(question);
    await pause(1);
    if (news === undefined) {
      throw new Error("nothing read yet");
    }
    return news;
  }
}

/** Time until all VMs have heard of the store's return, in milliseconds: the users' `contact_s` and `config_apply_s`. */
const RETURN_MS = 5_500;

let store: FakeStore;
let vms: Vm[] = [];

/** A region of 22 VMs, the first `refused` of which the store turns away for nine seconds. */
async function callsOfRegion(
  refused: number,
): Promise<{ calls: number; oldestMs: number }> {
  const faces = Array.from({ length: 22 }, () => new FakeStore());
  faces.forEach((face) => face.write("t-0", "ready"));
  const all = faces.map((face, at) => new Vm(`vm-${at}`, face));
  all.forEach((vm, at) => {
    vm.relays = all.slice(0, at);
    vm.fallbacks = all.slice(at + 1, at + 3);
  });
  await vi.advanceTimersByTimeAsync(4_000);
  const sumOf = () => faces.reduce((sum, { calls }) => sum + calls, 0);
  const before = sumOf();
  faces.slice(0, refused).forEach((face) => face.mode = "refuses");
  await vi.advanceTimersByTimeAsync(9_000);
  const ages = all.map(({ watch }) => watch.readAgeMs);
  return { calls: sumOf() - before, oldestMs: Math.max(...ages) };
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
  test("is read whole, in several pages", async () => {
    store.pageSize = 500;
    for (let at = 0; at < 1_100; at++) {
      store.write(`row-${at}`, "x");
    }
    const vm = new Vm("vm-1", store);
    await vi.advanceTimersByTimeAsync(50);
    expect(vm.rows.size).toBe(1_101);
  });

  test("is asked on a new connection for a change that a peer saw", async () => {
    // The connection on which this VM waits for changes delivers nothing any more,
    // without a reset. A peer hears of a change and says its version. Waiting on,
    // this VM would send to targets that are gone for the rest of the call.
    const vm = new Vm("vm-1", store);
    await vi.advanceTimersByTimeAsync(10);
    store.mode = "hangs";
    await vi.advanceTimersByTimeAsync(1_100);
    store.mode = "answers";
    store.write("t-1", "ready");
    vm.watch.hint(store.version);
    await vi.advanceTimersByTimeAsync(400);
    expect(vm.rows.has("t-1")).toBe(true);
  });

  test("is read whole where it has lost its history", async () => {
    const vm = new Vm("vm-1", store);
    await vi.advanceTimersByTimeAsync(10);
    store.historyFrom = 1_000;
    store.write("t-0", undefined);
    await vi.advanceTimersByTimeAsync(1_500);
    expect([...vm.rows.keys()]).toEqual([]);
  });

  test("that forgets at once is not read without end", async () => {
    // The store keeps no history at all, so each answer to a question for changes is
    // that it does not know. Asked again and again without a pause, it has no time
    // for anybody else, and each call is paid for.
    store.historyFrom = Infinity;
    new Vm("vm-1", store);
    await vi.advanceTimersByTimeAsync(3_000);
    expect(store.calls).toBeLessThan(50);
  });

  test("is asked once for changes that come together", async () => {
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
  test("passes changes on at once, and spares the store calls", async () => {
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

  test("that the store does not reach any more does not hold news up", async () => {
    // The VM that asks the store for its region is cut off from it, and packets
    // just vanish. The others still reach the store, so they are held to what
    // operators write: who waited for the relay's call to end would go on sending
    // to targets that leave.
    const first = new Vm("vm-1", store);
    await vi.advanceTimersByTimeAsync(10);
    const behind = new FakeStore();
    behind.write("t-0", "ready");
    const second = new Vm("vm-2", behind);
    second.relays = [first];
    await vi.advanceTimersByTimeAsync(1_500);
    store.mode = "hangs";
    await vi.advanceTimersByTimeAsync(1_000);
    behind.version = 10;
    behind.write("t-0", "draining");
    const asked = behind.calls;
    await vi.advanceTimersByTimeAsync(2_000);
    expect(behind.calls).toBeGreaterThan(asked);
    expect(second.rows.get("t-0")).toBe("draining");
    expect(second.contact).toEqual([]);
  });

  test("whose news are old sends one VM to the store, not all that asked it", async () => {
    // The store drops its history, and the VM that asks it for its region hears nothing
    // for two seconds. Its 60 followers notice at the same moment. Were each of them to
    // read the store, that would be more calls than a calm day has, all at once.
    const callsWith = async (followers: number) => {
      const behind = new FakeStore();
      behind.write("t-0", "ready");
      const stuck = new FakeStore();
      stuck.write("t-0", "ready");
      const first = new Vm("vm-1", stuck);
      const second = new Vm("vm-2", behind);
      second.relays = [first];
      const others = Array.from({ length: followers }, (_, at) => {
        const vm = new Vm(`vm-${at + 3}`, behind);
        vm.relays = [first, second];
        return vm;
      });
      await vi.advanceTimersByTimeAsync(1_500);
      const before = behind.calls;
      stuck.mode = "hangs";
      behind.version = 10;
      await vi.advanceTimersByTimeAsync(2_000);
      behind.write("t-1", "ready");
      await vi.advanceTimersByTimeAsync(2_000);
      expect(others.every(({ rows }) => rows.has("t-1"))).toBe(true);
      expect(others.flatMap(({ contact }) => contact)).toEqual([]);
      return behind.calls - before;
    };
    const alone = await callsWith(0);
    expect(await callsWith(60)).toBeLessThanOrEqual(alone + 2);
  });

  test("that cannot be reached is passed over, first for the next one", async () => {
    const first = new Vm("vm-1", store);
    const vm = new Vm("vm-2", store);
    vm.relays = [first];
    await vi.advanceTimersByTimeAsync(1_500);
    vm.areRelaysSilent = true;
    store.write("t-1", "ready");
    await vi.advanceTimersByTimeAsync(2_500);
    expect(vm.rows.has("t-1")).toBe(true);
    expect(vm.contact).toEqual([]);
  });

  test("gives news to a VM that the store turns away", async () => {
    // The store refuses one VM and serves the others and the operators. It started
    // in that time, so it knows nothing: without its peers it could only refuse.
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

  test("that the store turns away hears from VMs that would ask it", async () => {
    // The store refuses the VM that asks it for its region. With nobody above it to
    // ask, it would not know which keys were taken away, and refuse its callers.
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

  test("is passed over for the next one where the store turned it away, too", async () => {
    // The store refuses the two VMs that rank first in their region. All others asking
    // it in their place are twenty times the calls.
    const { calls, oldestMs } = await callsOfRegion(2);
    expect(calls).toBeLessThan(40);
    expect(oldestMs).toBeLessThan(3_800);
  });

  test("does not send all to a store that is away for all", async () => {
    // Nobody reaches the store. VMs that took each other's last news for a way to it
    // would pass each other over until each asks the store itself.
    const { calls } = await callsOfRegion(22);
    expect(calls).toBeLessThan(100);
  });

  test("that lost the store with all others hears of its return, which no other can tell", async () => {
    const regions = ["a", "b", "c"].map((region) =>
      Array.from({ length: 4 }, (_, at) => new Vm(`${region}-${at}`, store))
    );
    for (const region of regions) {
      const elsewhere = regions.filter((other) => other !== region)
        .flatMap((other) => other.slice(0, 2));
      region.forEach((vm, at) => {
        vm.relays = region.slice(0, at);
        vm.fallbacks = [...region.slice(at + 1, at + 3), ...elsewhere];
      });
    }
    await vi.advanceTimersByTimeAsync(3_000);
    store.mode = "refuses";
    await vi.advanceTimersByTimeAsync(6_000);
    store.mode = "answers";
    store.write("t-1", "ready");
    await vi.advanceTimersByTimeAsync(RETURN_MS);
    expect(vms.filter(({ rows }) => !rows.has("t-1"))).toEqual([]);
  });

  test("that was turned away itself is not asked without a pause", async () => {
    // Three VMs are turned away and have only each other: their answers come at once.
    const refusing = new FakeStore();
    refusing.write("t-0", "ready");
    const all = ["a", "b", "c"].map((name) => new Vm(name, refusing));
    all.forEach((vm) => vm.fallbacks = all.filter((other) => other !== vm));
    await vi.advanceTimersByTimeAsync(2_000);
    refusing.mode = "refuses";
    const asked = vi.spyOn(all[0]!.watch, "newsAfter");
    await vi.advanceTimersByTimeAsync(5_000);
    expect(asked.mock.calls.length).toBeLessThan(60);
  });

  test("is told apart from the store by no more than its way", async () => {
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

  test("tells that it had lost the store, together with what lapsed", async () => {
    // The store was away, and entries of living targets lapsed. The relay hears of
    // the removals on its return. A VM that asked only the relay noticed no loss; it
    // must not take the targets for gone.
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
    expect(vm.contact).toEqual(["lost", "regained"]);
  });

  test("that notices the store's return late leaves no other VM unaware of the loss", async () => {
    // The store is back, but the relay pauses before it asks again. Meanwhile its news
    // have become old, so the other VM asks the store itself, and reads of entries that
    // lapsed. It never saw the store away; if it took the targets for gone, callers
    // would be refused for want of targets.
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
    expect(vm.contact).toEqual(["lost", "regained"]);
  });

  test("spares calls to a store that is away, and its return is heard soon", async () => {
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
