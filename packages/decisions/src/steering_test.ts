import {
  type CallerId,
  id,
  type RegionId,
  type RequestId,
  type ServiceId,
  type TargetId,
  type VmId,
  type ZoneId,
} from "@poplarthread/ids";
import fc from "fast-check";
import { describe, expect, test } from "vitest";
import type { Effect } from "./effect.ts";
import type { AttemptOutcome, Repeat, SteeringEvent } from "./event.ts";
import { nextPlan } from "./planner.ts";
import type { Policy } from "./policy.ts";
import { Steering } from "./steering.ts";

const region = id<RegionId>("north");
const zone = id<ZoneId>("north-1");
const service = id<ServiceId>("portal");
const targets = ["t1", "t2"].map((name) => ({
  target: id<TargetId>(name),
  service,
  region,
  zone,
  leaving: false,
}));
const policy: Policy = {
  regions: [{ id: region, zones: [zone] }],
  services: [{
    id: service,
    slotsPerTarget: 3,
    targets: { [region]: 2 },
    utilisation: 1,
  }],
  classes: [
    { id: "objections", rank: 0, maxWaitMs: 2_000, reservedShare: 0 },
    { id: "pages", rank: 1, maxWaitMs: 1_000, reservedShare: 0 },
  ],
  links: [],
  demand: [],
  shift: { stepMs: 1_000, maxStepShare: 0.1, coldStepShare: 0.05 },
  callerShare: 0.5,
  retryShare: 0.1,
};

/** The VMs of one region, with a plan in force. */
function fleet(names: readonly string[]): Steering[] {
  const vms = names.map((name) => ({
    vm: id<VmId>(name),
    region,
    zone,
    live: true,
  }));
  const plan = nextPlan({
    policy,
    revision: 1,
    vms,
    targets,
    demand: [],
    confirmations: [],
    stopped: new Set(),
    previousAgeMs: 0,
  });
  return vms.map(({ vm }) => {
    const steering = new Steering({ self: vm, policy, seed: 1 });
    steering.handle({ kind: "vms", vms }, 0);
    steering.handle({ kind: "targets", targets }, 0);
    steering.handle({ kind: "plan", plan }, 0);
    return steering;
  });
}

function arrival(
  name: string,
  opts: { caller?: string; class?: string; repeat?: Repeat } = {},
): SteeringEvent {
  return {
    kind: "arrive",
    request: id<RequestId>(name),
    caller: id<CallerId>(opts.caller ?? name),
    service,
    class: opts.class ?? "pages",
    deadlineMs: 5_000,
    repeat: opts.repeat ?? "idempotent",
  };
}

function ended(
  name: string,
  outcome: AttemptOutcome,
  attempt = 1,
): SteeringEvent {
  return { kind: "ended", request: id<RequestId>(name), attempt, outcome };
}

/** A VM without peers whose six slots are all occupied by one caller's
 * requests. */
function filledVm(): Steering {
  const [vm] = fleet(["vm-1"]) as [Steering];
  for (let i = 0; i < 6; i++) {
    vm.handle(arrival(`busy-${i}`, { caller: "busy" }), 0);
  }
  return vm;
}

function dispatched(effects: readonly Effect[]): string[] {
  return effects.flatMap((effect) =>
    effect.kind === "dispatch" ? [effect.request as string] : []
  );
}

describe("waiting", () => {
  test("requests are served by class, then round robin by caller", () => {
    const vm = filledVm();
    const waiting = [
      arrival("a-1", { caller: "a" }),
      arrival("a-2", { caller: "a" }),
      arrival("b-1", { caller: "b" }),
      arrival("busy-6", { caller: "busy" }),
      arrival("objection", { class: "objections", repeat: "at-most-once" }),
    ];
    for (const event of waiting) expect(vm.handle(event, 1)).toEqual([]);
    const order = [0, 1, 2, 3, 4].flatMap((i) =>
      dispatched(vm.handle(ended(`busy-${i}`, "answered"), 50 + i))
    );
    // The busy caller came up in rotation while it still held its full share of
    // slots.
    expect(order).toEqual(["objection", "a-1", "b-1", "a-2", "busy-6"]);
  });

  // A request of this class may wait for a second. Without a refusal its caller
  // would wait until its own timeout.
  test("a request that waited too long is refused at once with a retry time", () => {
    const vm = filledVm();
    vm.handle(arrival("late"), 1);
    expect(vm.handle({ kind: "tick" }, 1_002)).toMatchObject([{
      kind: "refuse",
      request: "late",
      reason: "waited-too-long",
      notRun: true,
    }]);
  });

  // One busy caller has filled the queue. Without this rule a caller with a
  // single request would be refused for load that it did not cause.
  test("a full queue admits a caller that has no request in it", () => {
    const vm = filledVm();
    let refused = 0;
    for (let i = 0; i < 400; i++) {
      const effects = vm.handle(arrival(`more-${i}`, { caller: "busy" }), 1);
      if (effects.some(({ kind }) => kind === "refuse")) refused++;
    }
    expect(refused).toBeGreaterThan(100);
    const effects = vm.handle(arrival("single"), 2);
    const refusals = effects.filter(({ kind }) => kind === "refuse");
    expect(refusals).toMatchObject([{ reason: "overload", notRun: true }]);
    expect(refusals).not.toMatchObject([{ request: "single" }]);
  });
});

describe("attempts", () => {
  // The connection to the target breaks after the request was sent. The target
  // may have run it; sent again, it could run twice.
  test("an at-most-once request that may have run is not retried", () => {
    const [vm] = fleet(["vm-1"]) as [Steering];
    vm.handle(arrival("o", { repeat: "at-most-once" }), 0);
    expect(vm.handle(ended("o", "failed-after-sent"), 9)).toMatchObject([
      { kind: "refuse", reason: "attempts-failed", notRun: false },
    ]);
  });

  // All targets of the service die. If each request were retried, targets that
  // recover would face twice the load.
  test("retries stay within their budget when everything fails", () => {
    const [vm] = fleet(["vm-1"]) as [Steering];
    let attempts = 0;
    for (let i = 0; i < 200; i++) {
      let effects = vm.handle(arrival(`r${i}`), i * 100);
      while (effects.some(({ kind }) => kind === "dispatch")) {
        attempts++;
        const sent = effects.find((effect) => effect.kind === "dispatch")!;
        effects = vm.handle(
          ended(`r${i}`, "failed-before-sent", sent.attempt),
          i * 100 + 50,
        );
      }
    }
    expect(attempts).toBeLessThanOrEqual(200 * 1.1 + 10);
  });

  // A dead target refuses connections at once. A VM that holds slots of no
  // other target would send it every request, faster than to a working one.
  test("a dead target gets no more requests, even from a VM without another", () => {
    const [vm] = fleet(["vm-1"]) as [Steering];
    vm.handle({ kind: "target-leaving", target: targets[1]!.target }, 0);
    for (let i = 0; i < 3; i++) {
      const name = `r${i}`;
      const once = arrival(name, { repeat: "at-most-once" });
      expect(dispatched(vm.handle(once, i))).toEqual([name]);
      vm.handle(ended(name, "failed-after-sent"), i);
    }
    const next = arrival("next", { repeat: "at-most-once" });
    expect(dispatched(vm.handle(next, 9))).toEqual([]);
  });

  // A target announces that it is leaving. New work sent there would be aborted
  // when it stops.
  test("a leaving target gets no new work from its first report on", () => {
    const [vm] = fleet(["vm-1"]) as [Steering];
    const target = targets[0]!.target;
    vm.handle({ kind: "target-leaving", target }, 0);
    const used = Array.from({ length: 5 }, (_, i) => i).flatMap((i) =>
      vm.handle(arrival(`r${i}`), 1)
    ).flatMap((effect) => effect.kind === "dispatch" ? [effect.target] : []);
    expect(used).toEqual(["t2", "t2", "t2"]);
  });

  // A slot is lent for one second, but the request may take five. After that
  // second the lender uses the slot again, so two requests would run on it.
  test("a borrowed slot is not used by a request that may outlast the loan", () => {
    const [vm] = fleet(["vm-1", "vm-2"]) as [Steering, Steering];
    for (let i = 0; i < 3; i++) vm.handle(arrival(`own-${i}`), 0);
    vm.handle(arrival("next"), 0);
    const loanOf = (durationMs: number): SteeringEvent => ({
      kind: "borrowed",
      from: id<VmId>("vm-2"),
      target: targets[0]!.target,
      slots: 1,
      durationMs,
    });
    expect(dispatched(vm.handle(loanOf(1_000), 1))).toEqual([]);
    expect(dispatched(vm.handle(loanOf(20_000), 2))).toEqual(["next"]);
  });

  // The plan is not renewed: this VM may be cut off, and its slots may have
  // been reassigned. Work sent nevertheless could overload a target.
  test("slots of an expired plan are not used", () => {
    const [vm] = fleet(["vm-1"]) as [Steering];
    expect(dispatched(vm.handle(arrival("a"), 9_999))).toEqual(["a"]);
    expect(dispatched(vm.handle(arrival("b"), 10_001))).toEqual([]);
  });
});

/** Steps of a random sequence of events: what happens, at which VM, after which
 * delay. */
const steps = fc.array(
  fc.record({
    vm: fc.nat(2),
    wait: fc.nat(40),
    what: fc.constantFrom<"arrive" | AttemptOutcome | "gone" | "deliver">(
      "arrive",
      "arrive",
      "deliver",
      "deliver",
      "answered",
      "answered",
      "refused-not-run",
      "failed-before-sent",
      "failed-after-sent",
      "gone",
    ),
    pick: fc.nat(1_000),
    once: fc.boolean(),
  }),
  { minLength: 50, maxLength: 300 },
);

test("any sequence of events keeps targets within their slots and ends requests once", () => {
  fc.assert(
    fc.property(steps, (history) => {
      const simulation = new Simulation();
      for (const step of history) simulation.apply(step);
      simulation.finish();
      expect([...simulation.open]).toEqual([]);
    }),
    { seed: 11, numRuns: 150 },
  );
});

interface Running {
  readonly request: string;
  readonly attempt: number;
  readonly target: string;
  readonly vm: number;
}

/** Three VMs whose messages are delivered late and in any order. */
class Simulation {
  readonly open = new Set<string>();
  #vms = fleet(["vm-1", "vm-2", "vm-3"]);
  #now = 0;
  #count = 0;
  #running: Running[] = [];
  #messages: { to: number; event: SteeringEvent }[] = [];
  #vmOf = new Map<string, number>();
  #atMostOnce = new Set<string>();
  #mayHaveRun = new Set<string>();

  apply(step: {
    vm: number;
    wait: number;
    what: "arrive" | AttemptOutcome | "gone" | "deliver";
    pick: number;
    once: boolean;
  }): void {
    this.#now += step.wait;
    this.#handle(step.vm, { kind: "tick" });
    switch (step.what) {
      case "arrive": {
        const name = `r${this.#count++}`;
        this.open.add(name);
        this.#vmOf.set(name, step.vm);
        if (step.once) this.#atMostOnce.add(name);
        const repeat = step.once ? "at-most-once" : "idempotent";
        this.#handle(step.vm, arrival(name, { repeat }));
        return;
      }
      case "deliver": {
        const [message] = this.#messages.splice(
          step.pick % Math.max(1, this.#messages.length),
          1,
        );
        if (message !== undefined) this.#handle(message.to, message.event);
        return;
      }
      case "gone": {
        const name = [...this.open][step.pick % Math.max(1, this.open.size)];
        if (name === undefined) return;
        this.#close(name);
        const request = id<RequestId>(name);
        this.#handle(this.#vmOf.get(name)!, { kind: "gone", request });
        return;
      }
      default:
        this.#end(step.pick, step.what);
    }
  }

  /** Lets all running and waiting requests end. */
  finish(): void {
    for (let i = 0; i < 200; i++) {
      this.#now += 50;
      for (const vm of [0, 1, 2]) this.#handle(vm, { kind: "tick" });
      if (this.#running.length > 0) this.#end(0, "answered");
      const message = this.#messages.shift();
      if (message !== undefined) this.#handle(message.to, message.event);
    }
  }

  #end(pick: number, outcome: AttemptOutcome): void {
    const [run] = this.#running.splice(
      pick % Math.max(1, this.#running.length),
      1,
    );
    if (run === undefined) return;
    if (outcome === "failed-after-sent") this.#mayHaveRun.add(run.request);
    if (outcome === "answered") this.open.delete(run.request);
    this.#handle(run.vm, ended(run.request, outcome, run.attempt));
  }

  #close(request: string): void {
    expect(this.open.delete(request)).toBe(true);
  }

  #handle(vm: number, event: SteeringEvent): void {
    const steering = this.#vms[vm]!;
    for (const effect of steering.handle(event, this.#now)) {
      this.#execute(vm, effect);
    }
  }

  #execute(vm: number, effect: Effect): void {
    const from = this.#vms[vm]!.self;
    switch (effect.kind) {
      case "dispatch":
      case "hedge":
        expect(this.open.has(effect.request)).toBe(true);
        expect(
          this.#atMostOnce.has(effect.request) && this.#mayHaveRun.has(
            effect.request,
          ),
        ).toBe(false);
        this.#running.push({ ...effect, vm });
        expect(
          this.#running.filter(({ target }) => target === effect.target).length,
        ).toBeLessThanOrEqual(3);
        return;
      case "cancel": {
        const { request, attempt } = effect;
        this.#running = this.#running.filter((run) =>
          run.request !== request || run.attempt !== attempt
        );
        this.#send(from, ended(request, "cancelled", attempt));
        return;
      }
      case "refuse":
        expect(effect.notRun && this.#mayHaveRun.has(effect.request)).toBe(
          false,
        );
        this.#close(effect.request);
        return;
      case "ask":
        return this.#send(effect.to, { ...effect, kind: "asked", from });
      case "lend":
        return this.#send(effect.to, { ...effect, kind: "borrowed", from });
      case "give-back":
        return this.#send(effect.to, {
          ...effect,
          kind: "loan-ended",
          to: from,
        });
      default:
        return;
    }
  }

  #send(to: VmId, event: SteeringEvent): void {
    const index = this.#vms.findIndex(({ self }) => self === to);
    this.#messages.push({ to: index, event });
  }
}
