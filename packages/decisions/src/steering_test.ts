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

/** VMs of one region with a plan in force. */
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

/** Fills the six slots of a lone VM with one caller's requests. */
function filled(): Steering {
  const [vm] = fleet(["vm-1"]) as [Steering];
  for (let i = 0; i < 6; i++) {
    vm.handle(arrival(`busy-${i}`, { caller: "busy" }), 0);
  }
  return vm;
}

function started(effects: readonly Effect[]): string[] {
  return effects.flatMap((effect) =>
    effect.kind === "dispatch" ? [effect.request as string] : []
  );
}

describe("waiting", () => {
  test("the first class goes first, then callers in turn", () => {
    const vm = filled();
    const waiting = [
      arrival("a-1", { caller: "a" }),
      arrival("a-2", { caller: "a" }),
      arrival("b-1", { caller: "b" }),
      arrival("busy-6", { caller: "busy" }),
      arrival("objection", { class: "objections", repeat: "at-most-once" }),
    ];
    for (const event of waiting) expect(vm.handle(event, 1)).toEqual([]);
    const order = [0, 1, 2, 3, 4].flatMap((i) =>
      started(vm.handle(ended(`busy-${i}`, "answered"), 50 + i))
    );
    // The busy caller's turn came while it still held its share of the slots.
    expect(order).toEqual(["objection", "a-1", "b-1", "a-2", "busy-6"]);
  });

  // A page's wait may last a second. Its caller would otherwise look at an
  // empty page until its own patience ends.
  test("a wait that runs out is answered at once, with when to return", () => {
    const vm = filled();
    vm.handle(arrival("late"), 1);
    expect(vm.handle({ kind: "tick" }, 1_002)).toMatchObject([{
      kind: "refuse",
      request: "late",
      reason: "waited-too-long",
      notRun: true,
    }]);
  });

  // A queue of one busy caller is as long as it may be. A caller with a single
  // request would notice a refusal for load that it did not make.
  test("a full queue makes room for a caller that has nothing in it", () => {
    const vm = filled();
    let refused = 0;
    for (let i = 0; i < 400; i++) {
      const effects = vm.handle(arrival(`more-${i}`, { caller: "busy" }), 1);
      if (effects.some(({ kind }) => kind === "refuse")) refused++;
    }
    expect(refused).toBeGreaterThan(100);
    const effects = vm.handle(arrival("single"), 2);
    const losers = effects.filter(({ kind }) => kind === "refuse");
    expect(losers).toMatchObject([{ reason: "overload", notRun: true }]);
    expect(losers).not.toMatchObject([{ request: "single" }]);
  });
});

describe("attempts", () => {
  // The target's connection breaks after an objection was sent. It may be on
  // the docket already; sent again, a clerk would answer it twice.
  test("an objection that may have run is not sent again", () => {
    const [vm] = fleet(["vm-1"]) as [Steering];
    vm.handle(arrival("o", { repeat: "at-most-once" }), 0);
    expect(vm.handle(ended("o", "failed-after-sent"), 9)).toMatchObject([
      { kind: "refuse", reason: "attempts-failed", notRun: false },
    ]);
  });

  // Every target of the service dies. Each request is tried again, fails
  // again, and the targets that come back are met by twice the load.
  test("retries stay within their budget when everything fails", () => {
    const [vm] = fleet(["vm-1"]) as [Steering];
    let attempts = 0;
    for (let i = 0; i < 200; i++) {
      let todo = vm.handle(arrival(`r${i}`), i * 100);
      while (todo.some(({ kind }) => kind === "dispatch")) {
        attempts++;
        const sent = todo.find((effect) => effect.kind === "dispatch")!;
        todo = vm.handle(
          ended(`r${i}`, "failed-before-sent", sent.attempt),
          i * 100 + 50,
        );
      }
    }
    expect(attempts).toBeLessThanOrEqual(200 * 1.1 + 10);
  });

  // A target is dead and refuses connections at once. The VM that holds slots
  // of no other would send it every request, faster than to any that works.
  test("a dead target is left alone, also by a VM that holds no other", () => {
    const [vm] = fleet(["vm-1"]) as [Steering];
    vm.handle({ kind: "target-leaving", target: targets[1]!.target }, 0);
    for (let i = 0; i < 3; i++) {
      const name = `r${i}`;
      const once = arrival(name, { repeat: "at-most-once" });
      expect(started(vm.handle(once, i))).toEqual([name]);
      vm.handle(ended(name, "failed-after-sent"), i);
    }
    const next = arrival("next", { repeat: "at-most-once" });
    expect(started(vm.handle(next, 9))).toEqual([]);
  });

  // A target says with an answer that it is leaving. New work sent there would
  // be cut when it goes.
  test("a leaving target gets no new work from the first sign on", () => {
    const [vm] = fleet(["vm-1"]) as [Steering];
    const target = targets[0]!.target;
    vm.handle({ kind: "target-leaving", target }, 0);
    const used = Array.from({ length: 5 }, (_, i) => i).flatMap((i) =>
      vm.handle(arrival(`r${i}`), 1)
    ).flatMap((effect) => effect.kind === "dispatch" ? [effect.target] : []);
    expect(used).toEqual(["t2", "t2", "t2"]);
  });

  // A slot is lent for a second, and the request may take five. After the second
  // the lender uses its slot again, and two requests run on it.
  test("a borrowed slot is not used by what may outlast the loan", () => {
    const [vm] = fleet(["vm-1", "vm-2"]) as [Steering, Steering];
    for (let i = 0; i < 3; i++) vm.handle(arrival(`own-${i}`), 0);
    vm.handle(arrival("next"), 0);
    const loan = (durationMs: number): SteeringEvent => ({
      kind: "borrowed",
      from: id<VmId>("vm-2"),
      target: targets[0]!.target,
      slots: 1,
      durationMs,
    });
    expect(started(vm.handle(loan(1_000), 1))).toEqual([]);
    expect(started(vm.handle(loan(20_000), 2))).toEqual(["next"]);
  });

  // The plan is not renewed: this VM may be cut off, and its slots given to
  // another. Work sent on would push a target over what it carries.
  test("slots of a plan that ran out are not used", () => {
    const [vm] = fleet(["vm-1"]) as [Steering];
    expect(started(vm.handle(arrival("a"), 9_999))).toEqual(["a"]);
    expect(started(vm.handle(arrival("b"), 10_001))).toEqual([]);
  });
});

/** Steps of a random history: what happens, to which VM, after how long. */
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

test("any history keeps targets within their slots and ends requests once", () => {
  fc.assert(
    fc.property(steps, (history) => {
      const world = new History();
      for (const step of history) world.play(step);
      world.finish();
      expect([...world.open]).toEqual([]);
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

/** Three VMs, their messages delivered late and in any order. */
class History {
  readonly open = new Set<string>();
  #vms = fleet(["vm-1", "vm-2", "vm-3"]);
  #now = 0;
  #count = 0;
  #running: Running[] = [];
  #messages: { to: number; event: SteeringEvent }[] = [];
  #home = new Map<string, number>();
  #once = new Set<string>();
  #maybeRan = new Set<string>();

  play(step: {
    vm: number;
    wait: number;
    what: "arrive" | AttemptOutcome | "gone" | "deliver";
    pick: number;
    once: boolean;
  }): void {
    this.#now += step.wait;
    this.#tell(step.vm, { kind: "tick" });
    switch (step.what) {
      case "arrive": {
        const name = `r${this.#count++}`;
        this.open.add(name);
        this.#home.set(name, step.vm);
        if (step.once) this.#once.add(name);
        const repeat = step.once ? "at-most-once" : "idempotent";
        this.#tell(step.vm, arrival(name, { repeat }));
        return;
      }
      case "deliver": {
        const [message] = this.#messages.splice(
          step.pick % Math.max(1, this.#messages.length),
          1,
        );
        if (message !== undefined) this.#tell(message.to, message.event);
        return;
      }
      case "gone": {
        const name = [...this.open][step.pick % Math.max(1, this.open.size)];
        if (name === undefined) return;
        this.#close(name);
        const request = id<RequestId>(name);
        this.#tell(this.#home.get(name)!, { kind: "gone", request });
        return;
      }
      default:
        this.#end(step.pick, step.what);
    }
  }

  /** Lets all that runs and waits come to its end. */
  finish(): void {
    for (let i = 0; i < 200; i++) {
      this.#now += 50;
      for (const vm of [0, 1, 2]) this.#tell(vm, { kind: "tick" });
      if (this.#running.length > 0) this.#end(0, "answered");
      const message = this.#messages.shift();
      if (message !== undefined) this.#tell(message.to, message.event);
    }
  }

  #end(pick: number, outcome: AttemptOutcome): void {
    const [run] = this.#running.splice(
      pick % Math.max(1, this.#running.length),
      1,
    );
    if (run === undefined) return;
    if (outcome === "failed-after-sent") this.#maybeRan.add(run.request);
    if (outcome === "answered") this.open.delete(run.request);
    this.#tell(run.vm, ended(run.request, outcome, run.attempt));
  }

  #close(request: string): void {
    expect(this.open.delete(request)).toBe(true);
  }

  #tell(vm: number, event: SteeringEvent): void {
    const steering = this.#vms[vm]!;
    for (const effect of steering.handle(event, this.#now)) {
      this.#carryOut(vm, effect);
    }
  }

  #carryOut(vm: number, effect: Effect): void {
    const from = this.#vms[vm]!.self;
    switch (effect.kind) {
      case "dispatch":
      case "hedge":
        expect(this.open.has(effect.request)).toBe(true);
        expect(
          this.#once.has(effect.request) && this.#maybeRan.has(
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
        expect(effect.notRun && this.#maybeRan.has(effect.request)).toBe(false);
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
