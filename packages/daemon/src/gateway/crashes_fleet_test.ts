/**
 * A request that crashes each target that runs it, sent to VMs that do not always hear
 * each other. All of them reach the store.
 *
 * @module
 */

import { Writable } from "node:stream";
import {
  type HeldBackReport,
  targetRun,
} from "@poplarthread/coordination/held_back";
import type { TargetId } from "@poplarthread/ids";
import { afterEach, beforeEach, describe, expect, test, vi } from "vitest";
import { createLog } from "../log.ts";
import { CrashRecord } from "./crash_record.ts";
import { CrashSuspects } from "./crash_suspects.ts";
import { EventLog } from "./events.ts";
import { fingerprintsOf } from "./request_fingerprints.ts";
import { seededRandom } from "./testing.ts";

const REGIONS = 3;
const ZONES = 6;
const DELEGATES_PER_ZONE = 2;
const STEP_MS = 100;
const TICK_MS = 200;
const HEARTBEAT_MS = 1_000;
const REMOTE_REPORT_MS = 2_000;
/** Crashes in one heartbeat and one zone report. */
const HEARTBEAT_ROOM = 16;
const ZONE_REPORT_ROOM = 8;
/** Share of datagrams that get lost. */
const LOSS = 0.025;
/** After this time without heartbeats a VM counts as not heard. */
const SILENT_MS = 3_500;
/** Longest times of a write, and of a read through a relay. */
const WRITE_MS = 300;
const READ_MS = 1_500;
const RUN_MS = 80;
/** The end of a target is known within these times of its crash. */
const NOTICED_MS = [300, 700] as const;
/** The users' `contact_s`. */
const CONTACT_MS = 4_000;
const MAX_LATE_ARRIVALS = 3;
const COPIES = 12;
const FIRST_COPIES_AT_MS = 1_000;
/** Longer than `contact_s`, so that copies of later waves are late. */
const WAVE_MS = 4_300;
const FINGERPRINTS = fingerprintsOf({
  host: "site.example",
  method: "GET",
  url: "/read/a",
  object: undefined,
  body: undefined,
  bodyBytes: -1,
  caller: "10.0.0.1",
});
const SILENT_LOG = new EventLog(
  createLog({
    level: "error",
    vm: "vm",
    instance: "vm.1",
    stream: new Writable({ write: (_line, _encoding, done) => done() }),
  }),
);

/** Whether two VMs hear each other while the network is partitioned. */
type Hears = (vm: number, other: number) => boolean;

const PARTITIONS: readonly (readonly [string, Hears])[] = [
  ["not at all", () => true],
  ["into regions", (vm, other) => vm % REGIONS === other % REGIONS],
  ["into zones", (vm, other) => vm % ZONES === other % ZONES],
  ["into halves", (vm, other) => vm % 2 === other % 2],
  ["into single VMs", () => false],
];

/** When the partition begins and ends. */
const TIMES: readonly (readonly [string, number, number])[] = [
  ["long before", -Infinity, Infinity],
  ["just then", FIRST_COPIES_AT_MS, Infinity],
  ["for a moment", FIRST_COPIES_AT_MS - 200, FIRST_COPIES_AT_MS + 1_500],
];

interface Play {
  readonly vms: number;
  readonly hears: Hears;
  readonly cutAt: number;
  readonly healedAt: number;
  readonly seed: number;
  /** Copies of each wave; {@link COPIES} by default. */
  readonly copies?: readonly number[];
}

/** VMs with their suspects, the links between them, and the store. */
class SimulatedFleet {
  readonly #play: Play;
  readonly #random: () => number;
  readonly #startedAt = performance.now();
  readonly #suspects: readonly CrashSuspects[];
  readonly #records: readonly CrashRecord[];
  /** VMs with news for the others. */
  readonly #withNews = new Set<number>();
  readonly #arrivals: number[] = [];
  readonly #crashes: number[] = [];
  writes = 0;

  constructor(play: Play) {
    this.#play = play;
    this.#random = seededRandom(play.seed);
    const vms = Array.from({ length: play.vms }, (_, vm) => vm);
    this.#suspects = vms.map((vm) =>
      new CrashSuspects({
        publish: () => this.#withNews.add(vm),
        place: () => ({ position: vm, vms: play.vms }),
      })
    );
    this.#records = vms.map((vm) =>
      new CrashRecord({
        reports: (now) =>
          this.#suspects[vm]!.reportsToRecord(now, {
            isHeardByAll: () => this.#isHeardByAll(vm),
          }),
        write: (reports) => this.#write(reports),
        log: SILENT_LOG,
      })
    );
  }

  async run(): Promise<void> {
    const { copies = [COPIES, COPIES] } = this.#play;
    const endsAt = FIRST_COPIES_AT_MS + copies.length * WAVE_MS;
    for (let at = 0; at < endsAt; at += STEP_MS) {
      if (at >= FIRST_COPIES_AT_MS) {
        this.#sendWave(at - FIRST_COPIES_AT_MS, copies);
      }
      this.#exchange(at);
      if (at % TICK_MS === 0) {
        this.#records.forEach((record) => record.tick(performance.now()));
      }
      await vi.advanceTimersByTimeAsync(STEP_MS);
    }
  }

  get crashes(): number {
    return this.#crashes.length;
  }

  /** Arrivals at targets later than `contact_s` after the third crash. */
  get lateArrivals(): number {
    const third = this.#crashes[2] ?? Infinity;
    return this.#arrivals.filter((at) => at > third + CONTACT_MS).length;
  }

  #sendWave(sinceFirst: number, copies: readonly number[]): void {
    if (sinceFirst % WAVE_MS === 0) {
      for (let copy = 0; copy < copies[sinceFirst / WAVE_MS]!; copy++) {
        this.#sendCopy(Math.floor(this.#random() * this.#play.vms));
      }
    }
  }

  #sendCopy(vm: number): void {
    const suspects = this.#suspects[vm]!;
    if (suspects.heldBackMs(FINGERPRINTS, performance.now()) > 0) {
      return;
    }
    this.#arrivals.push(performance.now());
    const run = targetRun(`t-${this.#arrivals.length}` as TargetId);
    const [least, most] = NOTICED_MS;
    setTimeout(() => {
      this.#crashes.push(performance.now());
      suspects.attemptUnanswered(FINGERPRINTS, run, performance.now());
    }, RUN_MS);
    setTimeout(
      () => suspects.runEnded(run, "gone", performance.now()),
      RUN_MS + least + this.#random() * (most - least),
    );
  }

  /** The datagrams that are due: heartbeats, zone reports, and news. */
  #exchange(at: number): void {
    for (let vm = 0; vm < this.#play.vms; vm++) {
      const hasNews = this.#withNews.delete(vm);
      if (hasNews || at % HEARTBEAT_MS === 0) {
        this.#sendHeartbeat(vm);
      }
      const isDelegate = vm < ZONES * DELEGATES_PER_ZONE;
      if (isDelegate && (hasNews || at % REMOTE_REPORT_MS === 0)) {
        this.#sendZoneReport(vm);
      }
    }
  }

  #sendHeartbeat(vm: number): void {
    const reports = this.#suspects[vm]!
      .reports(performance.now(), HEARTBEAT_ROOM);
    this.#deliver(vm, reports, (other) => other % ZONES === vm % ZONES);
  }

  #sendZoneReport(vm: number): void {
    const reports = this.#suspects[vm]!
      .reports(performance.now(), ZONE_REPORT_ROOM);
    this.#deliver(vm, reports, (other) => other % ZONES !== vm % ZONES);
  }

  #deliver(
    vm: number,
    reports: readonly HeldBackReport[],
    isRecipient: (other: number) => boolean,
  ): void {
    if (reports.length === 0) {
      return;
    }
    this.#suspects.forEach((suspects, other) => {
      const isHeard = other !== vm && isRecipient(other) &&
        this.#isLinked(vm, other) && this.#random() >= LOSS;
      if (isHeard) {
        const now = performance.now();
        reports.forEach((report) => suspects.merge(report, now));
      }
    });
  }

  #isLinked(vm: number, other: number): boolean {
    const { cutAt, healedAt, hears } = this.#play;
    const now = performance.now() - this.#startedAt;
    return now < cutAt || now >= healedAt || hears(vm, other);
  }

  #isHeardByAll(vm: number): boolean {
    const now = performance.now() - this.#startedAt;
    return now < this.#play.cutAt + SILENT_MS ||
      this.#suspects.every((_, other) => this.#isLinked(vm, other));
  }

  /** Resolves when the store has performed the write; each VM then reads it some time later. */
  #write(reports: readonly HeldBackReport[]): Promise<void> {
    this.writes += 1;
    const agedBy = (report: HeldBackReport, ms: number): HeldBackReport => ({
      ...report,
      crashes: report.crashes
        .map(({ run, ageMs }) => ({ run, ageMs: ageMs + ms })),
    });
    const writtenAt = performance.now();
    const read = (suspects: CrashSuspects) => {
      const now = performance.now();
      reports.forEach((report) =>
        suspects.merge(agedBy(report, now - writtenAt), now)
      );
    };
    return new Promise((resolve) =>
      setTimeout(() => {
        resolve();
        this.#suspects.forEach((suspects) =>
          setTimeout(() => read(suspects), this.#random() * READ_MS)
        );
      }, this.#random() * WRITE_MS)
    );
  }
}

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

// Guards against crashes that some VMs know of and others, in touch with the store, do not.
describe.each(PARTITIONS)("VMs that are partitioned %s", (_, hears) => {
  const cases = [
    ...TIMES.map((time) => [9, [1, 2, 3], ...time] as const),
    [195, [1], "just then", FIRST_COPIES_AT_MS, Infinity] as const,
  ];
  test.each(cases)(
    "hold a request back together (%i VMs, seeds %j, cut %s)",
    async (vms, seeds, _, cutAt, healedAt) => {
      for (const seed of seeds) {
        const play = { vms, hears, cutAt, healedAt, seed };
        const fleet = new SimulatedFleet(play);
        await fleet.run();
        expect(fleet.crashes).toBeGreaterThanOrEqual(3);
        expect(fleet.lateArrivals).toBeLessThanOrEqual(MAX_LATE_ARRIVALS);
        // Each crash is written once at most.
        expect(fleet.writes).toBeLessThanOrEqual(fleet.crashes);
      }
    },
  );
});

// Guards against copies that come to many VMs, or many to one, when a hold is over.
test.each([
  [9, [1, 2, 3]],
  [195, [1]],
])("%i VMs let a request through one by one (seeds %j)", async (vms, seeds) => {
  const copies = [3, ...Array(18).fill(COPIES)];
  const whole = { hears: () => true, cutAt: Infinity, healedAt: Infinity };
  for (const seed of seeds) {
    const fleet = new SimulatedFleet({ vms, ...whole, seed, copies });
    await fleet.run();
    expect(fleet.lateArrivals).toBeLessThanOrEqual(MAX_LATE_ARRIVALS);
  }
});
