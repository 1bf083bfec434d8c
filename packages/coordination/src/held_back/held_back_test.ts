import { id, type TargetId } from "@poplarthread/ids";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  DEFAULT_HELD_BACK_POLICY,
  type Fingerprint,
  HeldBack,
  type HeldBackMessage,
  type HeldBackPolicy,
  type TargetRun,
  targetRun,
} from "./mod.ts";

const ENTRY_LIFETIME_MS = 600_000;

function fingerprint(name: string): Fingerprint {
  return name as Fingerprint;
}

function target(name: string): TargetRun {
  return targetRun(id<TargetId>(name));
}

describe("HeldBack", () => {
  // A request crashes each target that runs it, and its caller retries it through
  // another VM each time. Unless it is held back, it crashes one target of the
  // service after the other; requests that merely shared a target must not be
  // held back with it.
  it("holds back only the culprit on all VMs after two crashes", () => {
    const [a, b, c] = [new HeldBack(), new HeldBack(), new HeldBack()] as const;
    const poison = fingerprint("poison");
    const bystander = fingerprint("bystander");
    const first = a.targetCrashed(target("t1"), [poison, bystander], 0);
    for (const message of first) {
      b.receive(message, 10);
      c.receive(message, 10);
    }
    expect(b.verdict(poison, 20).kind).toBe("suspect");
    const second = b.targetCrashed(target("t2"), [poison], 5_000);
    // Messages may be repeated and arrive before older ones.
    [...second, ...second, ...first].forEach((message) =>
      c.receive(message, 5_010)
    );
    for (const vm of [b, c]) {
      expect(vm.verdict(poison, 5_020).kind).toBe("held-back");
      expect(vm.verdict(bystander, 5_020).kind).toBe("suspect");
    }
    expect(c.verdict(poison, 5_010 + ENTRY_LIFETIME_MS).kind).toBe("free");
  });

  // A frequently requested page is in flight on almost any target that crashes.
  // If it were held back, all its readers would be refused.
  it("never holds back a request that a target has completed", () => {
    const vm = new HeldBack();
    const page = fingerprint("page");
    vm.targetCrashed(target("t1"), [page], 0);
    vm.completed(page, 3_000);
    vm.targetCrashed(target("t2"), [page], 5_000);
    vm.targetCrashed(target("t3"), [page], 10_000);
    expect(vm.verdict(page, 10_001).kind).toBe("free");
  });

  // A zone fails, and many targets with it. None of the requests that were in
  // flight there is the cause, and their callers retry them.
  it("holds no request back for targets that crash together", () => {
    const vm = new HeldBack();
    const requests = Array.from({ length: 12 }, (_, n) => fingerprint(`r${n}`));
    requests.forEach((request, n) =>
      vm.targetCrashed(target(`t${n}`), [request], n * 10)
    );
    requests.forEach((request, n) =>
      vm.targetCrashed(target(`u${n}`), [request], 500 + n * 10)
    );
    const verdicts = requests.map((request) => vm.verdict(request, 1_000).kind);
    expect(verdicts).not.toContain("held-back");
  });

  it("agrees with a reference count for any order of messages", () => {
    const message: fc.Arbitrary<HeldBackMessage> = fc.record({
      kind: fc.constantFrom("coincided" as const, "completed" as const),
      fingerprint: fc.constantFrom("a", "b").map(fingerprint),
      target: fc.constantFrom("t1", "t2", "t3").map(target),
      remainingMs: fc.constantFrom(100, 1_000),
    });
    class Receive implements fc.Command<HeldBackMessage[], HeldBack> {
      readonly #message: HeldBackMessage;
      constructor(message: HeldBackMessage) {
        this.#message = message;
      }
      check = () => true;
      run(model: HeldBackMessage[], real: HeldBack): void {
        model.push(this.#message);
        real.receive(this.#message, 0);
        for (const name of [fingerprint("a"), fingerprint("b")]) {
          expect(real.verdict(name, 0).kind).toBe(expected(model, name));
        }
      }
    }
    const commands = fc.commands([
      message.map((message) => new Receive(message)),
    ]);
    fc.assert(
      fc.property(commands, (commands) => {
        const setup = () => ({ model: [], real: new HeldBack() });
        fc.modelRun(setup, commands);
      }),
      { seed: 6, numRuns: 200 },
    );
  });

  it("limits the size of its table", () => {
    const vm = new HeldBack();
    for (let n = 0; n < 10_000; n++) {
      vm.targetCrashed(target("t"), [fingerprint(`r${n}`)], n * 5_000);
    }
    expect(vm.size).toBeLessThanOrEqual(4_096);
  });
});

describe("reports between VMs", () => {
  const POLICY: HeldBackPolicy = {
    ...DEFAULT_HELD_BACK_POLICY,
    minCrashes: 3,
    firstHoldMs: 60_000,
    completionMs: 10_000,
    maxCrashesInBurst: Infinity,
  };
  const POISON = fingerprint("poison");
  const LATENCY_MS = 50;
  const REPORT_INTERVAL_MS = 1_000;
  const VMS = 5;

  function crash(vm: HeldBack, times: readonly number[]): void {
    times.forEach((at) => vm.targetCrashed(target(`t${at}`), [POISON], at));
  }

  it("tell a VM that starts later all that is known, with its age", () => {
    // Guards against VMs that let such a request through because they heard no message.
    const [seer, started] = [new HeldBack(POLICY), new HeldBack(POLICY)];
    crash(seer, [0, 1_000, 2_000]);
    seer.reports(30_000, 16).forEach((report) => started.merge(report, 30_000));
    expect(started.verdict(POISON, 30_000)).toEqual(
      seer.verdict(POISON, 30_000),
    );
  });

  it("tell at once of a request, however many targets it has crashed", () => {
    // Guards against a request that is left out because it has crashed too many targets.
    for (const crashes of [3, 4, 6, 7, 12]) {
      for (const others of [0, 5, 40]) {
        const [seer, other] = [new HeldBack(POLICY), new HeldBack(POLICY)];
        crash(seer, Array.from({ length: crashes }, (_, at) => at));
        const names = Array.from({ length: others }, (_, at) => `r${at}`);
        seer.targetCrashed(target("t"), names.map(fingerprint), crashes);
        seer.reports(1_000, 6).forEach((report) => other.merge(report, 1_000));
        const verdict = other.verdict(POISON, 1_000);
        expect(verdict, `${crashes} crashes, ${others} other suspects`)
          .toEqual(seer.verdict(POISON, 1_000));
      }
    }
  });

  it("tell of each of many requests that crash targets in turns", () => {
    // Guards against one that is never reported beside others with newer crashes.
    const [seer, other] = [new HeldBack(POLICY), new HeldBack(POLICY)];
    const names = Array.from({ length: 20 }, (_, at) => fingerprint(`r${at}`));
    ["t0", "t1", "t2", "t3", "t4"].forEach((run, at) =>
      seer.targetCrashed(target(run), names, at)
    );
    for (let turn = 0; turn < 2 * names.length; turn++) {
      seer.reports(10, 8).forEach((report) => other.merge(report, 10));
    }
    const verdicts = names.map((name) => other.verdict(name, 10).kind);
    expect(new Set(verdicts)).toEqual(new Set(["held-back"]));
  });

  it("do not prolong what they tell, however often VMs repeat it to each other", () => {
    // Guards against a hold-back for ever: an age that restarts at each hop.
    const vms = Array.from({ length: VMS }, () => new HeldBack(POLICY));
    crash(vms[0]!, [0, 1_000, 2_000]);
    const endsAt = 2_000 + ENTRY_LIFETIME_MS;
    for (let now = 3_000; now < endsAt + 60_000; now += REPORT_INTERVAL_MS) {
      vms.forEach((vm) =>
        vm.reports(now, 16).forEach((report) =>
          vms.forEach((other) => other.merge(report, now + LATENCY_MS))
        )
      );
    }
    vms.forEach((vm) => {
      expect(vm.verdict(POISON, endsAt + VMS * LATENCY_MS).kind).toBe("free");
      expect(vm.size).toBe(0);
    });
  });

  it("fit into the room that they are given, and tell everything in turns", () => {
    // Guards against one request that is never reported beside many others.
    const vm = new HeldBack(POLICY);
    const names = Array.from({ length: 100 }, (_, at) => fingerprint(`r${at}`));
    vm.targetCrashed(target("t0"), names, 0);
    crash(vm, [1, 2, 3]);
    const told = new Set<Fingerprint>();
    for (let turn = 0; turn < names.length; turn++) {
      const reports = vm.reports(10, 8);
      const crashes = reports.flatMap(({ crashes }) => crashes);
      expect(crashes.length).toBeLessThanOrEqual(8);
      expect(reports.map((report) => report.fingerprint)).toContain(POISON);
      reports.forEach((report) => told.add(report.fingerprint));
    }
    expect(told.size).toBe(names.length + 1);
  });
});

function expected(
  messages: readonly HeldBackMessage[],
  name: Fingerprint,
): string {
  const matching = messages.filter(({ fingerprint }) => fingerprint === name);
  if (matching.some(({ kind }) => kind === "completed")) {
    return "free";
  }
  const crashedTargets = matching.map((message) =>
    message.kind === "coincided" ? message.target : undefined
  );
  return [
    "free",
    "suspect",
    "held-back",
  ][Math.min(2, new Set(crashedTargets).size)]!;
}
