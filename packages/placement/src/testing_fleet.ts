/**
 * Fleets of VMs that send to targets, for tests of what all VMs send together.
 *
 * @module
 */

import type { RegionId, TargetId, VmId, ZoneId } from "@poplarthread/ids";
import { hashText } from "./hash.ts";
import type { PlacementRequest } from "./placement.ts";
import { Steering } from "./steering.ts";
import type { SteeredTarget } from "./target.ts";
import { requestFor } from "./testing.ts";

/** Regions of a fleet's VMs, in turn. */
export const REGIONS = ["north", "south", "east"];
/** An answer counts as known to a VM this long after it came, in milliseconds. */
const TOLD_MS = 500;
const STEP_MS = 5;
const ANSWER_MS = 120;
/** Requests that wait are placed again after this long, in milliseconds. */
const WAIT_MS = 50;
const PATIENCE_MS = 1_000;
/** Objects of the requests. */
const OBJECTS = 40;

/** A VM of a fleet. */
export interface FleetVm {
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
export class Fleet {
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

  /** The most requests in any window from `from` on: all, or those of VMs that had been told of a limit. */
  most(target: TargetId, options: {
    from: number;
    windowMs: number;
    onlyTold?: boolean;
  }): number {
    const { from, windowMs, onlyTold = false } = options;
    const times = this.arrivals
      .filter((one) =>
        one.target === target && one.at >= from && (one.isTold || !onlyTold)
      )
      .map(({ at }) => at);
    let most = 0;
    let first = 0;
    times.forEach((at, index) => {
      while (at - times[first]! >= windowMs) {
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
