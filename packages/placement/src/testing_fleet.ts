/**
 * Simulated fleets of VMs, for tests of the requests that all VMs send together.
 *
 * @module
 */

import type { RegionId, TargetId, VmId, ZoneId } from "@poplarthread/ids";
import { hashText } from "./hash.ts";
import type { PlacementRequest } from "./placement.ts";
import { Steering } from "./steering.ts";
import type { SteeredTarget } from "./target.ts";
import { requestFor } from "./testing.ts";

/** Regions that VMs are assigned to in rotation. */
export const REGIONS = ["north", "south", "east"];
/**
 * Time after a response with a limit from which on the VM's requests count as
 * informed of it.
 */
const KNOWN_AFTER_MS = 500;
const STEP_MS = 5;
const RESPONSE_MS = 120;
/** Interval after which a waiting request is placed again. */
const RETRY_INTERVAL_MS = 50;
const DEADLINE_MS = 1_000;
/** Number of different objects in the requests. */
const OBJECTS = 40;

/** A VM of a fleet. */
export interface FleetVm {
  readonly vm: VmId;
  readonly region: RegionId;
  readonly hash: number;
  steering: Steering;
  /** When a response first reported a limit, by target. */
  limitSeenAt: Map<TargetId, number>;
  isUp: boolean;
}

interface Arrival {
  readonly target: TargetId;
  readonly at: number;
  /** It came from a VM that had been informed of the limit. */
  readonly knewLimit: boolean;
}

/** VMs that send requests to targets with limits, and know which of them are up. */
export class Fleet {
  readonly vms: FleetVm[];
  readonly arrivals: Arrival[] = [];
  readonly limits = new Map<TargetId, number>();
  refused = 0;
  now = 0;
  /**
   * Time until all VMs receive a limit that a target reported to one of them; if
   * undefined, they receive none.
   */
  updateDelayMs: number | undefined;
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
        steering: this.#steering(vm, region, -Infinity),
        limitSeenAt: new Map(),
        isUp: true,
      };
    });
    this.setReachable(() => this.vms);
  }

  /** Sets the VMs that each VM can reach; those that are down are left out. */
  setReachable(reachableFrom: (vm: FleetVm) => readonly FleetVm[]): void {
    for (const one of this.vms) {
      one.steering.setVms(reachableFrom(one).filter(({ isUp }) => isUp));
      one.steering.setFleetSize(this.vms.length);
    }
  }

  stop(vm: FleetVm): void {
    vm.isUp = false;
    this.setReachable(() => this.vms);
  }

  start(vm: FleetVm): void {
    vm.isUp = true;
    vm.limitSeenAt = new Map();
    vm.steering = this.#steering(vm.vm, vm.region, this.now);
    this.setReachable(() => this.vms);
  }

  /**
   * Simulates `ms` milliseconds in which requests arrive at random VMs, `perSecond`
   * over all of them.
   */
  run(ms: number, perSecond: number): void {
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

  /**
   * The highest number of requests in any window starting at `from` or later: of
   * all VMs, or only of those informed of the limit.
   */
  maxInWindow(target: TargetId, options: {
    from: number;
    windowMs: number;
    onlyInformed?: boolean;
  }): number {
    const { from, windowMs, onlyInformed = false } = options;
    const times = this.arrivals
      .filter((one) =>
        one.target === target && one.at >= from &&
        (one.knewLimit || !onlyInformed)
      )
      .map(({ at }) => at);
    let max = 0;
    let first = 0;
    times.forEach((at, index) => {
      while (at - times[first]! >= windowMs) {
        first += 1;
      }
      max = Math.max(max, index - first + 1);
    });
    return max;
  }

  /** Requests per second that a target received since `from`. */
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
      deadlineAt: now + DEADLINE_MS,
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
        this.#after(RETRY_INTERVAL_MS, () => this.#place(vm, object, request));
        return;
      case "send":
        break;
    }
    const { target } = decision;
    const limitSeenAt = vm.limitSeenAt.get(target) ?? Infinity;
    this.arrivals.push({
      target,
      at: now,
      knewLimit: limitSeenAt + KNOWN_AFTER_MS <= now,
    });
    steering.sent(target, now);
    steering.written(target, now);
    this.#after(
      RESPONSE_MS,
      () => this.#respond(vm, steering, { target, object, now }),
    );
  }

  #after(ms: number, run: () => void): void {
    this.#due.push({ at: this.now + ms, run });
  }

  #respond(
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
      vm.limitSeenAt.set(target, vm.limitSeenAt.get(target) ?? now);
    }
    const limit = { perSecond, at: now };
    if (
      steering.updateLimit(target, limit) && this.updateDelayMs !== undefined
    ) {
      this.#after(
        this.updateDelayMs,
        () => this.vms.forEach((vm) => vm.steering.updateLimit(target, limit)),
      );
    }
  }

  #steering(vm: VmId, region: RegionId, startedAt: number): Steering {
    const steering = new Steering({
      vm,
      location: { region, zone: `${region}-1` as ZoneId },
      retries: { ratio: 0.2, fixed: 50, windowMs: 10_000 },
      startedAt,
    });
    this.#targets.forEach((target) => steering.setTarget(target));
    return steering;
  }
}

/** A deterministic generator of numbers from 0 up to 1. */
export function randomFrom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return state / 2 ** 32;
  };
}
