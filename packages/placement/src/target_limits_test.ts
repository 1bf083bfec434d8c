/**
 * Targets in need, whose limits hold for all VMs together.
 *
 * @module
 */

import { describe, expect, test } from "vitest";
import type { RegionId, TargetId, VmId, ZoneId } from "@poplarthread/ids";
import { hashText } from "./hash.ts";
import type { PlacementRequest } from "./placement.ts";
import { Steering } from "./steering.ts";
import type { SteeredTarget } from "./target.ts";
import { TargetLimits } from "./target_limits.ts";
import { requestFor, targetIn, targetsIn } from "./testing.ts";

const REGIONS = ["north", "south", "east"];
/** Every VM shares the limit from this long after it was first named, in milliseconds. */
const CONTACT_MS = 4_000;
/** An answer counts as known to a VM this long after it came, in milliseconds. */
const TOLD_MS = 500;
/** The bound holds in any span of this length, in milliseconds. */
const WINDOW_MS = 4_000;
const STEP_MS = 5;
const ANSWER_MS = 120;
/** Requests that wait are placed again after this long, in milliseconds. */
const WAIT_MS = 50;
const PATIENCE_MS = 1_000;
/** Time until VMs hear of each other's limits, in milliseconds. */
const NEWS_MS = 600;
/** Objects of the requests. */
const OBJECTS = 40;

interface FleetVm {
  readonly vm: VmId;
  readonly region: RegionId;
  readonly hash: number;
  steering: Steering;
  /** When it was first answered with a limit, by target. */
  toldAt: Map<TargetId, number>;
  isUp: boolean;
}

interface Arrival {
  readonly target: TargetId;
  readonly at: number;
  /** It came from a VM that had been told. */
  readonly isTold: boolean;
}

/** VMs that send to targets with limits, and hear of each other who is up. */
class Fleet {
  readonly vms: FleetVm[];
  readonly arrivals: Arrival[] = [];
  readonly limits = new Map<TargetId, number>();
  refused = 0;
  now = 0;
  /** Time until all VMs hear what a target said to one of them; they don't if it is left out. */
  newsMs: number | undefined;
  readonly #targets: readonly SteeredTarget[];
  readonly #random = randomFrom(7);
  #due: { at: number; run: () => void }[] = [];

  constructor(size: number, targets: readonly SteeredTarget[]) {
    this.#targets = targets;
    this.vms = Array.from({ length: size }, (_, at) => {
      const vm = `vm-${at}` as VmId;
      const region = REGIONS[at % REGIONS.length] as RegionId;
      return {
        vm,
        region,
        hash: hashText(vm),
        steering: this.#steering(vm, region),
        toldAt: new Map(),
        isUp: true,
      };
    });
    this.meet(() => this.vms);
  }

  /** From now on each VM takes part with those of `groupOf` that are up. */
  meet(groupOf: (vm: FleetVm) => readonly FleetVm[]): void {
    for (const one of this.vms) {
      one.steering.setVms(groupOf(one).filter(({ isUp }) => isUp));
      one.steering.setFleetSize(this.vms.length);
    }
  }

  stop(vm: FleetVm): void {
    vm.isUp = false;
    this.meet(() => this.vms);
  }

  start(vm: FleetVm): void {
    vm.isUp = true;
    vm.toldAt = new Map();
    vm.steering = this.#steering(vm.vm, vm.region);
    this.meet(() => this.vms);
  }

  /** Requests come at VMs drawn at random, `perSecond` at all of them together. */
  play(ms: number, perSecond: number): void {
    const until = this.now + ms;
    while (this.now < until) {
      this.now += STEP_MS;
      const due = this.#due.filter(({ at }) => at <= this.now);
      this.#due = this.#due.filter(({ at }) => at > this.now);
      due.forEach(({ run }) => run());
      let count = perSecond * STEP_MS / 1_000;
      for (; count > this.#random(); count -= 1) {
        this.#request();
      }
    }
  }

  /** The most requests of VMs that had been told in any window from `from` on. */
  most(target: TargetId, from: number): number {
    const times = this.arrivals
      .filter((one) => one.target === target && one.isTold && one.at >= from)
      .map(({ at }) => at);
    let most = 0;
    let first = 0;
    times.forEach((at, index) => {
      while (at - times[first]! >= WINDOW_MS) {
        first += 1;
      }
      most = Math.max(most, index - first + 1);
    });
    return most;
  }

  /** Requests a second that a target got from `from` on. */
  rate(target: TargetId, from: number): number {
    const count = this.arrivals
      .filter((one) => one.target === target && one.at >= from).length;
    return count * 1_000 / (this.now - from);
  }

  #request(): void {
    const up = this.vms.filter(({ isUp }) => isUp);
    const vm = up[Math.floor(this.#random() * up.length)]!;
    const object = `o-${Math.floor(this.#random() * OBJECTS)}`;
    const { now } = this;
    this.#place(vm, object, {
      ...requestFor(object, { now }),
      answerBy: now + PATIENCE_MS,
    });
  }

  #place(vm: FleetVm, object: string, request: PlacementRequest): void {
    const { now } = this;
    const { steering } = vm;
    const decision = steering.place(request, { now, ahead: 0 });
    switch (decision.kind) {
      case "refuse":
        this.refused += 1;
        return;
      case "wait":
        this.#after(WAIT_MS, () => this.#place(vm, object, request));
        return;
      case "send":
        break;
    }
    const { target } = decision;
    const toldAt = vm.toldAt.get(target) ?? Infinity;
    this.arrivals.push({ target, at: now, isTold: toldAt + TOLD_MS <= now });
    steering.sent(target, now);
    steering.written(target, now);
    this.#after(
      ANSWER_MS,
      () => this.#answer(vm, steering, { target, object, now }),
    );
  }

  #after(ms: number, run: () => void): void {
    this.#due.push({ at: this.now + ms, run });
  }

  #answer(
    vm: FleetVm,
    steering: Steering,
    { target, object, now: writtenAt }: {
      target: TargetId;
      object: string;
      now: number;
    },
  ): void {
    const { now } = this;
    steering.ended(target, {
      kind: "answered",
      failed: false,
      object: hashText(object),
      load: undefined,
      requestKind: "view",
      warmth: "unknown",
    }, { now, writtenAt });
    const perSecond = this.limits.get(target);
    if (vm.steering === steering && perSecond !== undefined) {
      vm.toldAt.set(target, vm.toldAt.get(target) ?? now);
    }
    const limit = { perSecond, at: now };
    if (steering.limitNamed(target, limit) && this.newsMs !== undefined) {
      this.#after(
        this.newsMs,
        () => this.vms.forEach((vm) => vm.steering.limitNamed(target, limit)),
      );
    }
  }

  #steering(vm: VmId, region: RegionId): Steering {
    const steering = new Steering({
      vm,
      place: { region, zone: `${region}-1` as ZoneId },
      retries: { ratio: 0.2, fixed: 50, windowMs: 10_000 },
    });
    this.#targets.forEach((target) => steering.setTarget(target));
    return steering;
  }
}

/** Numbers from 0 up to 1 that are the same in each run. */
function randomFrom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return state / 2 ** 32;
  };
}

function bound(perSecond: number): number {
  return Math.round(1.5 * perSecond * WINDOW_MS / 1_000) + 5;
}

const LIMITED = targetIn("north", "t-0");
const FLEETS = [1, 9, 195].flatMap((size) =>
  [0.4, 1, 2.6, 12].map((perSecond) => ({ size, perSecond }))
);

/** Plays with fleets and limits of all sizes; their only target has named its limit at 0. */
function expectHeld(play: (fleet: Fleet) => void): void {
  for (const { size, perSecond } of FLEETS) {
    const fleet = new Fleet(size, [LIMITED]);
    fleet.limits.set(LIMITED.id, perSecond);
    play(fleet);
    expect(
      fleet.most(LIMITED.id, CONTACT_MS),
      `${size} VMs, ${perSecond} a second`,
    ).toBeLessThanOrEqual(bound(perSecond));
  }
}

describe("a limit that a target names", () => {
  test("holds over all VMs together", () => {
    expectHeld((fleet) => fleet.play(30_000, 200));
  });

  test("holds while each VM is cut off from all others", () => {
    expectHeld((fleet) => {
      fleet.play(8_000, 200);
      fleet.meet((vm) => [vm]);
      fleet.play(12_000, 200);
      fleet.meet(() => fleet.vms);
      fleet.play(8_000, 200);
    });
  });

  test("holds while regions are cut off from each other", () => {
    expectHeld((fleet) => {
      fleet.play(8_000, 200);
      fleet.meet(({ region }) =>
        fleet.vms.filter((other) => other.region === region)
      );
      fleet.play(12_000, 200);
    });
  });

  test("holds while VMs start anew in turn", () => {
    expectHeld((fleet) => {
      fleet.play(5_000, 200);
      const { vms } = fleet;
      for (let at = 0; at < 15 && vms.length > 1; at++) {
        const vm = vms[at * 7 % vms.length]!;
        fleet.stop(vm);
        fleet.play(1_000, 200);
        fleet.start(vm);
      }
    });
  });

  test("is used by half at least, and nobody is refused while others serve", () => {
    for (const size of [1, 9]) {
      const [limited, ...others] = targetsIn("north", 4);
      const fleet = new Fleet(size, [limited!, ...others]);
      fleet.limits.set(limited!.id, 4);
      fleet.play(20_000, 60);
      expect(fleet.rate(limited!.id, CONTACT_MS)).toBeGreaterThan(4 / 2);
      expect(fleet.refused).toBe(0);
    }
  });

  test("is used by half at least where all targets of a service have one", () => {
    const targets = REGIONS.flatMap((region) => targetsIn(region, 6));
    const fleet = new Fleet(9, targets);
    targets.forEach(({ id }) => fleet.limits.set(id, 2));
    fleet.play(20_000, 200);
    const rates = targets.map(({ id }) => fleet.rate(id, CONTACT_MS));
    const sum = rates.reduce((total, rate) => total + rate, 0);
    expect(sum).toBeGreaterThan(targets.length * 2 / 2);
  });

  test("ends with the first answer that names none", () => {
    const fleet = new Fleet(1, [LIMITED]);
    fleet.limits.set(LIMITED.id, 1);
    fleet.play(5_000, 20);
    fleet.limits.clear();
    fleet.play(5_000, 20);
    expect(fleet.rate(LIMITED.id, 8_000)).toBeGreaterThan(10);
  });

  test("does not outlast its target's life", () => {
    const fleet = new Fleet(1, [LIMITED]);
    const { steering } = fleet.vms[0]!;
    for (const end of ["restarted", "removeTarget"] as const) {
      steering.limitNamed(LIMITED.id, { perSecond: 1, at: 0 });
      steering[end](LIMITED.id);
      expect(steering.limitedTargets).toBe(0);
    }
  });

  test("spares its target the first request of each of many VMs", () => {
    const targets = REGIONS.flatMap((region) => targetsIn(region, 4));
    const [limited] = targets;
    const fleet = new Fleet(195, targets);
    fleet.newsMs = NEWS_MS;
    fleet.play(2_000, 150);
    const before = fleet.rate(limited!.id, 0);
    fleet.limits.set(limited!.id, 1);
    fleet.play(8_000, 150);
    expect(fleet.rate(limited!.id, 3_000)).toBeLessThan(before / 3);
  });

  test("ends on all VMs when one has learned of its end", () => {
    const targets = REGIONS.flatMap((region) => targetsIn(region, 4));
    const fleet = new Fleet(195, targets);
    fleet.newsMs = NEWS_MS;
    targets.forEach(({ id }) => fleet.limits.set(id, 2));
    fleet.play(8_000, 150);
    expect(fleet.refused).toBeGreaterThan(0);
    fleet.limits.clear();
    fleet.play(3_000, 150);
    fleet.refused = 0;
    fleet.play(5_000, 150);
    expect(fleet.refused).toBe(0);
  });

  test("is the one that its target named last, in whatever order VMs tell it", () => {
    const limits = new TargetLimits();
    expect(limits.named(LIMITED.id, { perSecond: 2, at: 100 })).toBe(true);
    expect(limits.named(LIMITED.id, { perSecond: undefined, at: 200 }))
      .toBe(true);
    expect(limits.named(LIMITED.id, { perSecond: 2, at: 150 })).toBe(false);
    expect(limits.has(LIMITED.id)).toBe(false);
  });
});
