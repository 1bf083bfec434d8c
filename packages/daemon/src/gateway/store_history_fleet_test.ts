/**
 * Fleets of VMs in three regions that follow a store whose histories change, or are said
 * to change, in virtual time.
 *
 * @module
 */

import { afterEach, beforeEach, describe, expect, test, vi } from "vitest";
import { pause } from "../pause.ts";
import {
  type ChangesRequest,
  HistoryGoneError,
  type Member,
  type RowsPage,
  type StoredRow,
} from "./ports.ts";
import type { RelayRequest, RelayResponse } from "./relay.ts";
import { NamedHistory } from "./store_history.ts";
import { SubjectWatch } from "./subject_watch.ts";
import { memberNamed, seededRandom } from "./testing.ts";

/** `config_apply_s` of the users, the shortest of their bounds for changes. */
const APPLY_MS = 2_500;
/** Time after a disruption from which their bounds count again. */
const DISRUPTION_MS = 4_000;
const HEARTBEAT_MS = 1_000;

/** A store of one subject in memory. */
class FakeStore {
  rows = new Map<string, StoredRow>();
  version = 0;
  era = 5;
  calls = 0;
  isAway = false;
  /** Delay of the responses that are made now. */
  responseMs = 2;
  /** The era as the next response names it; undefined if it does not. */
  namedEra: () => number | undefined = () => this.era;
  /** History before this version is gone. */
  historyFrom = 0;
  readonly #waiters = new Set<() => void>();

  write(key: string, text: string): void {
    this.version += 1;
    const value = Buffer.from(text);
    this.rows.set(key, { key, value, version: this.version });
    this.#wake();
  }

  copy() {
    return { rows: new Map(this.rows), version: this.version };
  }

  /** Is away and comes back with the rows of a copy, as the history `era`. */
  async replace(
    { rows, version }: ReturnType<FakeStore["copy"]>,
    era: number,
    awayMs = 1_500,
  ): Promise<void> {
    this.isAway = true;
    this.#wake();
    await vi.advanceTimersByTimeAsync(awayMs);
    this.rows = new Map(rows);
    this.version = version;
    this.era = era;
    this.isAway = false;
  }

  async list(): Promise<Answer> {
    await this.#receive();
    return this.#respond([...this.rows.values()]);
  }

  async changes({ version, waitMs, signal }: ChangesRequest): Promise<Answer> {
    await this.#receive();
    if (version < this.historyFrom || version > this.version) {
      const { named } = await this.#respond([]);
      return { named, page: undefined };
    }
    const changed = () =>
      [...this.rows.values()].filter((row) => row.version > version)
        .toSorted((a, b) => a.version - b.version);
    if (changed().length === 0) {
      await this.#nextChange(waitMs, signal);
    }
    this.#refuseIfAway();
    return this.#respond(changed());
  }

  async #receive(): Promise<void> {
    this.calls += 1;
    this.#refuseIfAway();
    await pause(2);
  }

  #refuseIfAway(): void {
    if (this.isAway) {
      throw new Error("away");
    }
  }

  async #respond(rows: readonly StoredRow[]): Promise<Answer> {
    const named = this.namedEra();
    const page = { rows, version: this.version };
    await pause(this.responseMs);
    return { named, page };
  }

  #wake(): void {
    this.#waiters.forEach((wake) => wake());
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
      signal.addEventListener("abort", () => {
        done();
        reject(signal.reason);
      });
    });
  }
}

/** A response of the store; without a page if it does not have the version. */
interface Answer {
  readonly named: number | undefined;
  readonly page: Pick<RowsPage, "rows" | "version"> | undefined;
}

/** A VM's watch, and what its listener received. */
class Vm {
  readonly watch: SubjectWatch;
  readonly member: Member;
  relays: readonly Vm[] = [];
  fallbacks: readonly Vm[] = [];
  rows = new Map<string, string>();
  /** Calls that reach the store. */
  calls = 0;
  /** No call gets out of the VM, and none in. */
  isCut = false;
  readonly adopted: number[] = [];
  readonly refuted: number[] = [];
  readonly unused: number[] = [];
  readonly #history = new NamedHistory();

  constructor(name: string, store: FakeStore) {
    this.member = memberNamed(name);
    this.watch = new SubjectWatch("operator", {
      store: {
        list: () => this.#call(() => store.list()),
        changes: (_subject, request) =>
          this.#call(() => store.changes(request)),
        isOlder: () => false,
      },
      relays: (excluded) =>
        this.relays.map((relay) => relay.member)
          .filter(({ vm }) => !excluded.has(vm)).slice(0, 2),
      fallbacks: () => this.fallbacks.map((vm) => vm.member),
      queryRelay: (relay, request) => this.#query(relay, request),
      listener: {
        rowsChanged: (rows) => {
          this.rows = new Map(
            [...rows.values()].map(({ key, value }) => [key, String(value)]),
          );
        },
        connectivityChanged: () => undefined,
        relayUnresponsive: () => undefined,
        relaySkipped: () => undefined,
        callEnded: () => undefined,
        readLate: () => undefined,
        sourceSlow: () => undefined,
        responseNotUsed: (era) => this.unused.push(era),
        rowsNotApplied: () => undefined,
        claimRefuted: (claimed) => this.refuted.push(claimed),
        restored: (_rows, { era }) => this.adopted.push(era),
      },
    });
  }

  async #call(call: () => Promise<Answer>): Promise<RowsPage> {
    this.#refuseIfCut();
    this.calls += 1;
    const startedAt = performance.now();
    const { named, page } = await call();
    this.#refuseIfCut();
    const endedAt = performance.now();
    const era = this.#history.resolve(named, { startedAt, endedAt });
    if (page === undefined) {
      throw new HistoryGoneError("gone", era);
    }
    return { ...page, era, isTruncated: false };
  }

  async #query(relay: Member, request: RelayRequest): Promise<RelayResponse> {
    const queried = [...this.relays, ...this.fallbacks]
      .find(({ member }) => member === relay)!;
    this.#refuseIfCut();
    queried.#refuseIfCut();
    const response = await queried.watch.changesAfter(request);
    await pause(1);
    this.#refuseIfCut();
    queried.#refuseIfCut();
    if (response === undefined) {
      throw new Error("nothing read yet");
    }
    return response;
  }

  #refuseIfCut(): void {
    if (this.isCut) {
      throw new Error("unreachable");
    }
  }
}

/** VMs in three regions, which tell each other in heartbeats what they have seen. */
class Fleet {
  readonly store = new FakeStore();
  readonly vms: readonly Vm[];
  readonly #timer: NodeJS.Timeout;

  constructor(vmsPerRegion: number) {
    this.store.write("first", "x");
    const regions = ["a", "b", "c"].map((region) =>
      Array.from(
        { length: vmsPerRegion },
        (_, at) => new Vm(`${region}-${at}`, this.store),
      )
    );
    for (const region of regions) {
      const elsewhere = regions.filter((other) => other !== region)
        .flatMap((other) => other.slice(0, 2));
      region.forEach((vm, at) => {
        vm.relays = region.slice(0, at);
        vm.fallbacks = [...region.slice(at + 1, at + 3), ...elsewhere];
        void vm.watch.run();
      });
    }
    this.vms = regions.flat();
    this.#timer = setInterval(() => this.#beat(), HEARTBEAT_MS);
  }

  close(): void {
    clearInterval(this.#timer);
    this.vms.forEach(({ watch }) => watch.close());
  }

  /** VMs that don't have a row within the users' bound, after it was written now. */
  async lateFor(key: string): Promise<readonly string[]> {
    this.store.write(key, "x");
    await vi.advanceTimersByTimeAsync(APPLY_MS);
    return this.vms.filter(({ rows }) => !rows.has(key))
      .map(({ member }) => member.vm);
  }

  /** Copy of the store some seconds ago. */
  async ageCopy(writes: number) {
    const copy = this.store.copy();
    for (let at = 0; at < writes; at++) {
      this.store.write(`lost-${at}`, "x");
    }
    await vi.advanceTimersByTimeAsync(2_000);
    return copy;
  }

  claim(era: number, version: number): void {
    this.vms.forEach(({ watch }) => watch.hint({ era, version }));
  }

  #beat(): void {
    const up = this.vms.filter(({ isCut }) => !isCut);
    for (const { watch } of up) {
      const seen = watch.newest;
      up.forEach((vm) => vm.watch !== watch && vm.watch.hint(seen));
    }
  }
}

let fleet: Fleet;

async function startFleet(vmsPerRegion: number): Promise<void> {
  fleet = new Fleet(vmsPerRegion);
  await vi.advanceTimersByTimeAsync(3_000);
}

beforeEach(() => {
  vi.useFakeTimers();
  vi.spyOn(Math, "random").mockImplementation(seededRandom(1));
});

afterEach(() => {
  fleet.close();
  vi.restoreAllMocks();
  vi.useRealTimers();
});

describe.each([3, 22])("a fleet of three times %i VMs", (vmsPerRegion) => {
  test("follows a store that counts its histories from the start again", async () => {
    await startFleet(vmsPerRegion);
    const copy = await fleet.ageCopy(10);
    await fleet.store.replace(copy, 1);
    await vi.advanceTimersByTimeAsync(DISRUPTION_MS);
    expect(fleet.vms.every(({ rows }) => rows.has("lost-9"))).toBe(true);
    expect(await fleet.lateFor("written")).toEqual([]);
    expect(fleet.vms.map(({ adopted }) => adopted))
      .toEqual(fleet.vms.map(() => [1]));
    await vi.advanceTimersByTimeAsync(10_000);
    expect(fleet.vms.some(({ rows }) => rows.has("lost-9"))).toBe(false);
  });

  test("reads the store, though one VM names a history that it does not have", async () => {
    await startFleet(vmsPerRegion);
    fleet.claim(10, 3);
    await vi.advanceTimersByTimeAsync(DISRUPTION_MS);
    fleet.store.historyFrom = fleet.store.version + 1;
    expect(await fleet.lateFor("written")).toEqual([]);
    expect(fleet.vms.map(({ refuted }) => refuted))
      .toEqual(fleet.vms.map(() => [10]));
    expect(fleet.vms.flatMap(({ adopted }) => adopted)).toEqual([]);
  });

  test("makes no more than a call a VM for claims that the store refutes", async () => {
    await startFleet(vmsPerRegion);
    const callsIn = async (era: number | undefined) => {
      const before = fleet.store.calls;
      for (let at = 0; at < 20; at++) {
        if (era !== undefined) {
          fleet.claim(era, 3);
        }
        await vi.advanceTimersByTimeAsync(HEARTBEAT_MS);
      }
      return fleet.store.calls - before;
    };
    const calm = await callsIn(undefined);
    expect(await callsIn(10)).toBeLessThanOrEqual(calm + fleet.vms.length);
    expect(await fleet.lateFor("written")).toEqual([]);
  });

  test("follows a store that comes to a history that was claimed too early", async () => {
    await startFleet(vmsPerRegion);
    const copy = await fleet.ageCopy(10);
    fleet.claim(6, 3);
    await vi.advanceTimersByTimeAsync(DISRUPTION_MS);
    await fleet.store.replace(copy, 6);
    await vi.advanceTimersByTimeAsync(DISRUPTION_MS);
    expect(await fleet.lateFor("written")).toEqual([]);
    expect(fleet.vms.map(({ watch }) => watch.newest.era))
      .toEqual(fleet.vms.map(() => 6));
  });

  test.each([["now and then", 3], ["for a while", 1]])(
    "follows a store that does not name its history %s",
    async (_when, every) => {
      await startFleet(vmsPerRegion);
      const { store } = fleet;
      let responses = 0;
      store.namedEra = () => ++responses % every === 0 ? undefined : store.era;
      const late: string[] = [];
      for (let at = 0; at < 5; at++) {
        late.push(...await fleet.lateFor(`written-${at}`));
      }
      store.historyFrom = store.version + 1;
      late.push(...await fleet.lateFor("written"));
      expect(late).toEqual([]);
      store.namedEra = () => store.era;
      expect(await fleet.lateFor("written-at-last")).toEqual([]);
      expect(fleet.vms.flatMap(({ adopted }) => adopted)).toEqual([]);
    },
  );

  test("follows a store whose versions go back without a new history", async () => {
    await startFleet(vmsPerRegion);
    const copy = await fleet.ageCopy(10);
    await fleet.store.replace(copy, 5);
    await vi.advanceTimersByTimeAsync(DISRUPTION_MS);
    expect(fleet.vms.every(({ rows }) => rows.has("lost-9"))).toBe(true);
    const late: string[] = [];
    for (let at = 0; at < 12; at++) {
      late.push(...await fleet.lateFor(`written-${at}`));
    }
    expect(late).toEqual([]);
  });
});

test.each([1, 2, 3, 4, 5, 6])(
  "VMs that have read the return of an earlier history by themselves use relays again (seed %i)",
  async (seed) => {
    // Guards against VMs that leave relays alone for good, each calling the store in their place.
    vi.spyOn(Math, "random").mockImplementation(seededRandom(seed));
    await startFleet(22);
    const { store, vms } = fleet;
    await vi.advanceTimersByTimeAsync(DISRUPTION_MS);
    const copy = await fleet.ageCopy(10);
    await store.replace(store.copy(), 6);
    await vi.advanceTimersByTimeAsync(6_000);
    await store.replace(copy, 5);
    await vi.advanceTimersByTimeAsync(DISRUPTION_MS);
    const before = vms.map(({ calls }) => calls);
    await vi.advanceTimersByTimeAsync(2_000);
    const callers = vms.filter(({ calls }, at) => calls > before[at]!);
    expect(callers.map(({ member }) => member.vm)).toHaveLength(3);
    expect(await fleet.lateFor("written")).toEqual([]);
  },
);

test("a late response of an earlier history is not used by a VM that has just started", async () => {
  await startFleet(3);
  const { store } = fleet;
  const copy = await fleet.ageCopy(10);
  store.responseMs = 1_900;
  const started = new Vm("started", store);
  void started.watch.run();
  await vi.advanceTimersByTimeAsync(100);
  store.responseMs = 2;
  await store.replace(copy, 6, 100);
  started.watch.hint({ era: 6, version: store.version });
  await vi.advanceTimersByTimeAsync(DISRUPTION_MS);
  started.watch.close();
  expect(started.unused).toEqual([5]);
  expect([...started.rows.keys()]).toEqual(["first"]);
});

/** What may happen to a fleet, one after the other; each resolves when it is over. */
type Disruption = (random: () => number) => Promise<void>;

const DISRUPTIONS: readonly Disruption[] = [
  async (random) => {
    const copy = await fleet.ageCopy(Math.ceil(random() * 20));
    await fleet.store.replace(copy, Math.ceil(random() * 8), random() * 3_000);
  },
  async () => {
    const copy = await fleet.ageCopy(5);
    await fleet.store.replace(copy, fleet.store.era + 1, 1_000);
  },
  async (random) => {
    const era = Math.ceil(random() * 12);
    for (let at = 0; at < 3; at++) {
      fleet.claim(era, Math.ceil(random() * 100));
      await vi.advanceTimersByTimeAsync(HEARTBEAT_MS);
    }
  },
  async (random) => {
    const { store } = fleet;
    store.namedEra = () => random() < 0.5 ? undefined : store.era;
    await vi.advanceTimersByTimeAsync(random() * 3_000);
    store.namedEra = () => store.era;
  },
  async (random) => {
    fleet.store.historyFrom = fleet.store.version + 1;
    fleet.store.responseMs = random() * 1_900;
    await vi.advanceTimersByTimeAsync(random() * 3_000);
    fleet.store.historyFrom = 0;
    fleet.store.responseMs = 2;
  },
];

test.each(Array.from({ length: 40 }, (_, seed) => seed))(
  "no VM stays behind after any disruptions of the histories (seed %i)",
  async (seed) => {
    const random = seededRandom(seed);
    vi.spyOn(Math, "random").mockImplementation(seededRandom(seed + 1_000));
    await startFleet(3);
    const late: string[] = [];
    for (let round = 0; round < 6; round++) {
      fleet.vms.forEach((vm) => vm.isCut = random() < 0.2);
      const disruption =
        DISRUPTIONS[Math.floor(random() * DISRUPTIONS.length)]!;
      await disruption(random);
      fleet.vms.forEach((vm) => vm.isCut = false);
      if (random() < 0.6) {
        await vi.advanceTimersByTimeAsync(DISRUPTION_MS);
        late.push(...await fleet.lateFor(`written-${round}`));
      }
    }
    await vi.advanceTimersByTimeAsync(DISRUPTION_MS);
    for (let at = 0; at < 6; at++) {
      late.push(...await fleet.lateFor(`last-${at}`));
    }
    expect(late).toEqual([]);
  },
);
