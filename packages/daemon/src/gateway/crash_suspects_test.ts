/**
 * Requests that crash their targets.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { describe, expect, test } from "vitest";
import {
  type Fingerprint,
  targetRun,
} from "@poplarthread/coordination/held_back";
import type { TargetId } from "@poplarthread/ids";
import type { ReachState } from "@poplarthread/placement";
import { type CrashFinding, CrashSuspects } from "./crash_suspects.ts";
import { fingerprintsOf, type RepeatedParts } from "./request_fingerprints.ts";

const RUNS = (["t-1", "t-2", "t-3"] as TargetId[])
  .map((target) => targetRun(target, "start"));
const [RUN] = RUNS;
const READ: RepeatedParts = {
  host: "site.example",
  method: "GET",
  url: "/read/a",
  object: undefined,
  body: undefined,
  bodyBytes: -1,
  caller: "10.0.0.1",
};
const FINGERPRINTS = fingerprintsOf(READ);

/** A tracker, what it found, and how often it had news for other VMs. */
function tracker(reach: () => ReachState = () => "reached") {
  const found: CrashFinding[] = [];
  let published = 0;
  const suspects = new CrashSuspects({
    publish: () => published += 1,
    reach,
    found: (finding) => found.push(finding),
  });
  const count = (kind: CrashFinding["kind"]) =>
    found.filter((finding) => finding.kind === kind).length;
  return { suspects, found, count, published: () => published };
}

/** The request breaks on three targets, which then end. */
function crashAll(
  suspects: CrashSuspects,
  now: number,
  fingerprints: readonly Fingerprint[] = FINGERPRINTS,
): void {
  for (const run of RUNS) {
    suspects.attemptUnanswered(fingerprints, run, now);
    suspects.runEnded(run, "gone", now + 100);
  }
}

describe("a request that crashes each target", () => {
  test("is held back on all VMs after three crashes", () => {
    // Guards against a reader who takes down a service target by target, through any VM.
    const vms = [tracker().suspects, tracker().suspects];
    RUNS.forEach((run, index) => {
      expect(vms.map((vm) => vm.heldBackMs(FINGERPRINTS, 0))).toEqual([0, 0]);
      const [seer, other] = index % 2 === 0 ? vms : vms.toReversed();
      seer!.attemptUnanswered(FINGERPRINTS, run, 0);
      seer!.runEnded(run, "gone", 100);
      seer!.reports(110, 16).forEach((report) => other!.merge(report, 120));
    });
    for (const vm of vms) {
      expect(vm.heldBackMs(FINGERPRINTS, 200)).toBeGreaterThan(30_000);
    }
  });

  test("is held back though its targets ended seconds after it broke on them", () => {
    // Guards against a short window: the entry of a crashed target expires after seconds.
    const { suspects } = tracker();
    for (const run of RUNS) {
      suspects.attemptUnanswered(FINGERPRINTS, run, 0);
      suspects.runEnded(run, "gone", 6_000);
    }
    expect(suspects.heldBackMs(FINGERPRINTS, 6_001)).toBeGreaterThan(30_000);
  });

  test("is held back if it breaks only after the end of a run has become known", () => {
    const { suspects } = tracker();
    for (const run of RUNS) {
      suspects.runEnded(run, "gone", 0);
      suspects.attemptUnanswered(FINGERPRINTS, run, 50);
    }
    expect(suspects.heldBackMs(FINGERPRINTS, 60)).toBeGreaterThan(30_000);
  });

  test("is held back if a next run responds at the address before the store shows it", () => {
    const { suspects } = tracker();
    for (const run of RUNS) {
      suspects.attemptUnanswered(FINGERPRINTS, run, 0);
      suspects.runResponded(run, 200);
      suspects.runEnded(run, "replaced", 1_000);
    }
    expect(suspects.heldBackMs(FINGERPRINTS, 1_001)).toBeGreaterThan(30_000);
  });

  test("counts each run of one target", () => {
    // Guards against endless crashes of a service with fewer than three targets.
    const { suspects } = tracker();
    for (const start of [1, 2, 3]) {
      const run = targetRun("t-1" as TargetId, start);
      suspects.attemptUnanswered(FINGERPRINTS, run, start * 1_000);
      suspects.runEnded(run, "replaced", start * 1_000 + 500);
    }
    expect(suspects.heldBackMs(FINGERPRINTS, 4_000)).toBeGreaterThan(30_000);
  });

  test("is refused for the moment while it is not settled that targets ended", () => {
    // Guards against further crashes until the ends are proven.
    const { suspects } = tracker();
    RUNS.forEach((run, index) => {
      suspects.attemptUnanswered(FINGERPRINTS, run, 0);
      suspects[index === 0 ? "runUnresponsive" : "runRefused"](run, 10);
    });
    expect(suspects.heldBackMs(FINGERPRINTS, 20)).toBe(1_000);
    suspects.runResponded(RUN!, 100);
    expect(suspects.heldBackMs(FINGERPRINTS, 110)).toBe(0);
  });

  test("is held back longer with each crash after it was let through again", () => {
    // Guards against three further crashes each time that it comes back.
    const { suspects } = tracker();
    crashAll(suspects, 0);
    const firstMs = suspects.heldBackMs(FINGERPRINTS, 100);
    const again = firstMs + 200;
    expect(suspects.heldBackMs(FINGERPRINTS, again)).toBe(0);
    const run = targetRun("t-4" as TargetId);
    suspects.attemptUnanswered(FINGERPRINTS, run, again);
    suspects.runEnded(run, "gone", again);
    expect(suspects.heldBackMs(FINGERPRINTS, again)).toBe(2 * firstMs);
  });
});

describe("requests are told apart", () => {
  const variants: readonly Partial<RepeatedParts>[] = [
    { host: "other.example" },
    { method: "POST" },
    { url: "/read/b" },
    { object: "o-1" },
    { body: Buffer.from("x") },
    { bodyBytes: 7 },
  ];

  test.each(variants)("by %o", (variant) => {
    const { suspects } = tracker();
    crashAll(suspects, 0);
    const other = fingerprintsOf({ ...READ, ...variant });
    expect(suspects.heldBackMs(other, 200)).toBe(0);
  });

  test("not by their callers, if nobody succeeds with them", () => {
    // Guards against a caller that comes from another address each time.
    const { suspects } = tracker();
    RUNS.forEach((run, index) => {
      const caller = `10.0.0.${index}`;
      suspects.attemptUnanswered(fingerprintsOf({ ...READ, caller }), run, 0);
      suspects.runEnded(run, "gone", 100);
    });
    expect(suspects.heldBackMs(FINGERPRINTS, 200)).toBeGreaterThan(30_000);
  });

  test("by their callers, if others succeed with them", () => {
    // Guards against a caller whose request crashes targets while others' same request succeeds.
    const { suspects } = tracker();
    const others = fingerprintsOf({ ...READ, caller: "10.0.0.2" });
    for (const run of RUNS) {
      suspects.attemptSucceeded(others, 0);
      suspects.attemptUnanswered(FINGERPRINTS, run, 10);
      suspects.runEnded(run, "gone", 20);
      suspects.attemptSucceeded(others, 30);
    }
    expect(suspects.heldBackMs(FINGERPRINTS, 40)).toBeGreaterThan(30_000);
    expect(suspects.heldBackMs(others, 40)).toBe(0);
  });
});

describe("a request whose connections are reset", () => {
  test("is not held back while its targets do not crash", () => {
    // Guards against a popular page that nobody can read while a network fault resets connections.
    const { suspects } = tracker();
    for (const run of RUNS) {
      suspects.attemptUnanswered(FINGERPRINTS, run, 0);
    }
    expect(suspects.heldBackMs(FINGERPRINTS, 100)).toBe(0);
  });

  test("is not linked to the end of a run that has responded since", () => {
    const { suspects } = tracker();
    for (const run of RUNS) {
      suspects.attemptUnanswered(FINGERPRINTS, run, 0);
      suspects.runResponded(run, 200);
      suspects.runEnded(run, "gone", 1_000);
    }
    expect(suspects.heldBackMs(FINGERPRINTS, 1_000)).toBe(0);
  });

  test("is linked to the end of a run that has responded only to something earlier", () => {
    const { suspects } = tracker();
    for (const run of RUNS) {
      suspects.attemptUnanswered(FINGERPRINTS, run, 100);
      suspects.runResponded(run, 50);
      suspects.runEnded(run, "gone", 1_000);
    }
    expect(suspects.heldBackMs(FINGERPRINTS, 1_000)).toBeGreaterThan(30_000);
  });

  test("is not linked to a crash much later", () => {
    const { suspects } = tracker();
    for (const run of RUNS) {
      suspects.attemptUnanswered(FINGERPRINTS, run, 0);
      suspects.runEnded(run, "gone", 10_000);
    }
    expect(suspects.heldBackMs(FINGERPRINTS, 10_000)).toBe(0);
  });
});

describe("a request that breaks on targets that then refuse connections", () => {
  function breakOnAll(suspects: CrashSuspects): void {
    for (const run of RUNS) {
      suspects.attemptUnanswered(FINGERPRINTS, run, 0);
      suspects.runRefused(run, 10);
    }
  }

  test("is held back if this VM reaches other targets", () => {
    const { suspects, count, published } = tracker();
    breakOnAll(suspects);
    suspects.settle(200);
    expect(count("counted")).toBe(0);
    suspects.settle(400);
    // Each of three crashes counts against the request, and the request of this caller.
    expect(count("counted")).toBe(6);
    expect(published()).toBeGreaterThan(0);
    expect(suspects.heldBackMs(FINGERPRINTS, 400)).toBeGreaterThan(30_000);
  });

  test("is not held back by any VM if this VM lost its own links", () => {
    let reach: ReachState = "in-doubt";
    const { suspects, count } = tracker(() => reach);
    breakOnAll(suspects);
    suspects.settle(400);
    reach = "cut-off";
    suspects.settle(600);
    reach = "reached";
    suspects.settle(1_000);
    expect(count("counted")).toBe(0);
    expect(suspects.reports(1_000, 16)).toEqual([]);
    expect(suspects.heldBackMs(FINGERPRINTS, 1_000)).toBe(0);
  });

  test("is held back once the store shows that they were started again, even if this VM seemed cut off", () => {
    // Guards against a request that takes down all targets of a small service and looks like lost links.
    let reach: ReachState = "cut-off";
    const { suspects } = tracker(() => reach);
    breakOnAll(suspects);
    suspects.settle(600);
    reach = "reached";
    for (const run of RUNS) {
      suspects.runEnded(run, "replaced", 2_000);
    }
    expect(suspects.heldBackMs(FINGERPRINTS, 2_000)).toBeGreaterThan(30_000);
  });
});

describe("a popular request", () => {
  // Guards against a hold-back of all its callers after a zone was lost.
  test("is not held back when targets that ran it fall together", () => {
    const { suspects, count } = tracker();
    suspects.attemptSucceeded(FINGERPRINTS, 900);
    crashAll(suspects, 1_000);
    expect(count("counted")).toBe(0);
    expect(suspects.heldBackMs(FINGERPRINTS, 1_200)).toBe(0);
  });

  test("is no longer held back once another target responds to it", () => {
    const { suspects } = tracker();
    crashAll(suspects, 1_000);
    expect(suspects.heldBackMs(FINGERPRINTS, 1_200)).toBeGreaterThan(1_000);
    suspects.attemptSucceeded(FINGERPRINTS, 1_300);
    expect(suspects.heldBackMs(FINGERPRINTS, 1_400)).toBe(0);
  });

  test("is no longer held back by other VMs once a target responds to it", () => {
    const vms = [tracker().suspects, tracker().suspects] as const;
    crashAll(vms[0], 1_000);
    vms[0].reports(1_100, 16).forEach((report) => vms[1].merge(report, 1_100));
    vms[1].attemptSucceeded(FINGERPRINTS, 1_200);
    vms[1].reports(1_300, 16).forEach((report) => vms[0].merge(report, 1_300));
    expect(vms[0].heldBackMs(FINGERPRINTS, 1_400)).toBe(0);
  });

  test("is held back if it begins to crash targets later", () => {
    const { suspects } = tracker();
    suspects.attemptSucceeded(FINGERPRINTS, 0);
    crashAll(suspects, 20_000);
    expect(suspects.heldBackMs(FINGERPRINTS, 20_200)).toBeGreaterThan(1_000);
  });
});

/** A target ends under many requests. */
function crashUnderMany(suspects: CrashSuspects): void {
  for (let request = 0; request < 20; request++) {
    const url = `/read/${request}`;
    const fingerprints = fingerprintsOf({ ...READ, url });
    suspects.attemptUnanswered(fingerprints, RUNS[0]!, 0);
  }
  suspects.runEnded(RUNS[0]!, "gone", 100);
}

describe("requests for the record in the store", () => {
  const HEARD = { isHeardByAll: () => true };
  const UNHEARD = { isHeardByAll: () => false };

  test("have several crashes, of which this VM counted one", () => {
    // Guards against a call of each VM for each target that ends.
    const { suspects } = tracker();
    const other = tracker().suspects;
    suspects.attemptUnanswered(FINGERPRINTS, RUNS[0]!, 0);
    suspects.runEnded(RUNS[0]!, "gone", 100);
    other.attemptUnanswered(FINGERPRINTS, RUNS[1]!, 0);
    other.runEnded(RUNS[1]!, "gone", 100);
    other.reports(200, 16).forEach((report) => suspects.merge(report, 200));
    const counts = suspects.reportsToRecord(300, HEARD)
      .map(({ count }) => count);
    expect(counts).toEqual([2, 2]);
    const listener = tracker().suspects;
    suspects.reports(300, 16).forEach((one) => listener.merge(one, 300));
    expect(listener.reportsToRecord(400, UNHEARD)).toEqual([]);
  });

  test("have a single crash", () => {
    // Guards against VMs that have just lost each other and count one crash each.
    const { suspects } = tracker();
    suspects.attemptUnanswered(FINGERPRINTS, RUNS[0]!, 0);
    suspects.runEnded(RUNS[0]!, "gone", 100);
    expect(suspects.reportsToRecord(100, HEARD)).toEqual([]);
    expect(suspects.reportsToRecord(500, HEARD).length).toBe(2);
    expect(suspects.reportsToRecord(60_000, HEARD)).toEqual([]);
  });

  test("have a single crash beside many others only while VMs are not heard", () => {
    // Guards against a call of each VM when a zone falls.
    const { suspects } = tracker();
    crashUnderMany(suspects);
    for (let now = 100; now < 20_000; now += 200) {
      expect(suspects.reportsToRecord(now, HEARD)).toEqual([]);
    }
  });

  test("have several single crashes while VMs are not heard", () => {
    // Guards against VMs that count one crash each while a zone falls.
    const { suspects } = tracker();
    crashUnderMany(suspects);
    suspects.reportsToRecord(100, UNHEARD);
    expect(suspects.reportsToRecord(500, UNHEARD).length).toBe(8);
  });

  test("stay for a while when they are cleared", () => {
    // Guards against a popular request that other VMs hold back on for a minute.
    const { suspects } = tracker();
    const other = tracker().suspects;
    crashAll(suspects, 0);
    suspects.reportsToRecord(200, HEARD)
      .forEach((report) => other.merge(report, 200));
    expect(other.heldBackMs(FINGERPRINTS, 200)).toBeGreaterThan(0);
    suspects.attemptSucceeded(FINGERPRINTS, 30_000);
    const cleared = suspects.reportsToRecord(30_100, HEARD);
    expect(cleared.map(({ crashes }) => crashes)).toEqual([[], []]);
    cleared.forEach((report) => other.merge(report, 30_200));
    expect(other.heldBackMs(FINGERPRINTS, 30_200)).toBe(0);
    expect(suspects.reportsToRecord(50_000, HEARD)).toEqual([]);
  });
});
