/**
 * Runs a scenario in virtual time: callers, VMs, targets and the network between them.
 *
 * @module
 */

import type {
  RegionId,
  ServiceId,
  TargetId,
  VmId,
  ZoneId,
} from "@poplarthread/ids";
import type {
  RegisteredTarget,
  Route,
  Service,
} from "@poplarthread/daemon/emulation";
import {
  type HashedPair,
  hashText,
  type RetryBound,
  Steering,
  type SteeringOptions,
  WeightedSplit,
} from "@poplarthread/placement";
import { RetryUse } from "@poplarthread/placement/retry-use";
import { EventLoop } from "../decisions/event_loop.ts";
import { Callers } from "./callers.ts";
import { EmulatedHomes } from "./emulated_homes.ts";
import { EmulatedTarget } from "./emulated_target.ts";
import {
  type EmulatedRequest,
  EmulatedVm,
  listEntryOf,
} from "./emulated_vm.ts";
import { applyEvent } from "./events.ts";
import { ExpectedJobs, OracleSteering } from "./oracle.ts";
import { Random } from "./random.ts";
import type { RequestKind, Scenario, ScenarioService } from "./scenario.ts";
import type { RequestResult } from "./tally.ts";

/** What places the requests in a run. */
export type Policy = "gateway" | "oracle";

/** A run of a scenario. */
export interface RunOptions {
  readonly scenario: Scenario;
  readonly seed: number;
  readonly policy: Policy;
}

/** Result of a run. */
export interface RunResult {
  readonly requests: readonly RequestResult[];
  /** Attempts that were sent to targets. */
  readonly attempts: number;
  /** Number of times a cold target got more requests within one second than it can take. */
  readonly coldBreaches: number;
  /** Share of the requests run by targets whose object was cached there. */
  readonly warmShare: number;
  /** Mean wait for a slot at a target. */
  readonly targetWaitMs: number;
  /** Retries of the worst window of any service, as a multiple of those that its bound allows. */
  readonly retryUse: number;
}

/** Time before the traffic starts, in which the VMs learn of each other and of the targets. */
const STARTUP_MS = 1_000;
/** Time after the traffic in which open requests complete. */
const COMPLETION_MS = 10_000;
/** Time from a change of the running VMs until the others know it: a few heartbeats. */
const MEMBERSHIP_DELAY_MS = 500;

/** Runs a scenario. Meanwhile `performance.now` returns the virtual time. */
export function runScenario(options: RunOptions): RunResult {
  const real = performance.now;
  const loop = new EventLoop();
  performance.now = () => loop.now;
  try {
    return new World(options, loop).run();
  } finally {
    performance.now = real;
  }
}

/** State of a run. Points in time are milliseconds of virtual time. */
export class World {
  readonly scenario: Scenario;
  readonly loop: EventLoop;
  readonly random: Random;
  readonly targets = new Map<TargetId, EmulatedTarget>();
  readonly vms = new Map<VmId, EmulatedVm>();
  readonly routes: ReadonlyMap<string, Route>;
  readonly results: RequestResult[] = [];
  /** Changes that current events make to the traffic. */
  readonly traffic = {
    factor: 1,
    shifts: new Set<{ from: string; to: string; share: number }>(),
    kindBursts: new Set<{ requestKind: string; factor: number }>(),
  };
  readonly evacuatedZones = new Set<ZoneId>();
  attempts = 0;
  readonly retryUse = new RetryUse();
  readonly #policy: Policy;
  readonly #regions: ReadonlyMap<ZoneId, RegionId>;
  readonly #services: ReadonlyMap<ServiceId, Service>;
  readonly #splits = new Map<string, WeightedSplit>();
  readonly #jobs: ExpectedJobs;
  /** Decides which messages about homes are lost; apart, so that the traffic stays the same. */
  readonly #homeLosses: Random;
  #targetCount = 0;

  constructor({ scenario, seed, policy }: RunOptions, loop: EventLoop) {
    this.scenario = scenario;
    this.loop = loop;
    this.random = new Random(seed);
    this.#homeLosses = new Random(seed);
    this.#policy = policy;
    this.#jobs = new ExpectedJobs(scenario);
    this.#regions = new Map(
      scenario.zones.map(({ name, region }) => [
        name as ZoneId,
        region as RegionId,
      ]),
    );
    this.#services = new Map(
      scenario.services.map((one) => [one.name as ServiceId, serviceOf(one)]),
    );
    this.routes = new Map(
      scenario.kinds.map((kind) => [kind.name, routeOf(kind)]),
    );
  }

  run(): RunResult {
    this.#startTargets();
    this.scenario.zones.forEach(({ name, vms }) => {
      for (let index = 1; index <= vms; index++) {
        const vm = `${name}-${index}` as VmId;
        this.startVm(vm, name as ZoneId, { startedAt: -Infinity });
      }
    });
    const endsAt = STARTUP_MS + this.scenario.seconds * 1_000;
    this.scenario.events.forEach((event) =>
      this.loop.after(
        STARTUP_MS + event.at * 1_000,
        () => applyEvent(this, event),
      )
    );
    new Callers(this, { from: STARTUP_MS, until: endsAt }).start();
    this.loop.runUntil(endsAt + COMPLETION_MS);
    const sumOf = (valueOf: (one: EmulatedTarget) => number) =>
      [...this.targets.values()].reduce((sum, one) => sum + valueOf(one), 0);
    const ran = sumOf((one) => one.handled);
    return {
      requests: this.results,
      attempts: this.attempts,
      coldBreaches: sumOf((one) => one.coldBreaches),
      warmShare: sumOf((one) => one.handledWarm) / ran,
      targetWaitMs: sumOf((one) => one.totalWaitMs) / ran,
      retryUse: this.retryUse.worst(this.#retryBound),
    };
  }

  regionOf(zone: ZoneId): RegionId {
    return this.#regions.get(zone)!;
  }

  /** VMs that callers of a zone may use: those of its region, or all if none there is up. */
  vmsFor(zone: ZoneId): readonly EmulatedVm[] {
    const up = [...this.vms.values()].filter(({ isUp }) => isUp);
    const near = up.filter(({ region }) => region === this.regionOf(zone));
    return near.length > 0 ? near : up;
  }

  /** One-way delay between a caller's zone and a VM. */
  callerDelayMs(zone: ZoneId, vm: EmulatedVm): number {
    const { caller } = this.scenario.delaysMs;
    return caller + this.#delayMs(zone, vm.zone);
  }

  /** The service for a VM's next request of a kind, by the weights of its split. */
  serviceFor(vm: EmulatedVm, kind: RequestKind): ServiceId {
    const key = `${vm.vm} ${kind.name}`;
    let split = this.#splits.get(key);
    if (split === undefined) {
      const { split: parts } = this.routes.get(kind.name)!;
      split = new WeightedSplit(parts, hashText(key) / 2 ** 32);
      this.#splits.set(key, split);
    }
    return split.next()!;
  }

  /** Adds a target with an empty cache. */
  addTarget(service: ScenarioService, zone: ZoneId): EmulatedTarget {
    this.#targetCount += 1;
    const id = `${service.name}-${this.#targetCount}` as TargetId;
    const target = new EmulatedTarget({
      placed: {
        id,
        service: service.name as ServiceId,
        zone,
        region: this.regionOf(zone),
        slots: service.slots,
        hash: hashText(id),
      },
      service,
      loop: this.loop,
      random: () => this.random.uniform(),
    });
    this.targets.set(id, target);
    return target;
  }

  /** Targets that are up and not leaving. */
  liveTargets(): readonly EmulatedTarget[] {
    return [...this.targets.values()]
      .filter(({ isUp, isLeaving }) => isUp && !isLeaving);
  }

  /** Gives all VMs the platform's list of targets, as it is after the delay of a list change. */
  publishTargets(): void {
    this.loop.after(this.scenario.delaysMs.news, () => {
      const list = this.#targetList();
      this.vms.forEach((vm) => vm.setTargets(list));
    });
  }

  /** Gives all VMs the evacuated zones, as they are after the delay of a list change. */
  publishEvacuations(): void {
    this.loop.after(this.scenario.delaysMs.news, () => {
      const zones = new Set(this.evacuatedZones);
      this.vms.forEach((vm) => vm.path.setEvacuatedZones(zones, this.loop.now));
    });
  }

  /** Starts a VM without state, now by default. */
  startVm(
    name: VmId,
    zone: ZoneId,
    { startedAt = this.loop.now } = {},
  ): void {
    const region = this.regionOf(zone);
    const homes = this.scenario.startTimes
      ? this.#createHomes(name, zone)
      : undefined;
    const vm = new EmulatedVm({
      vm: name,
      zone,
      region,
      zones: this.#regions,
      services: this.#services,
      routes: [...this.routes.values()],
      loop: this.loop,
      homes,
      steering: this.#createSteering({
        vm: name,
        location: { zone, region },
        ...(homes === undefined ? {} : {
          homes: homes.source,
          roomOf: (service) => homes.roomOf(service),
        }),
        onWarmPair: (pair) => this.#publishWarmTarget(name, pair),
        retries: this.#retryBound,
        startedAt,
      }),
      target: (id) => this.targets.get(id)!,
      delayMs: ({ placed }) => this.#delayMs(zone, placed.zone),
      newConnectionMs: this.scenario.delaysMs.newConnection,
      idleTimeoutMs: this.scenario.delaysMs.idleTimeout ?? Infinity,
      attemptSent: ({ placed }, request) => {
        this.attempts += 1;
        this.retryUse.arrived(
          placed.service,
          request,
          this.loop.now + this.#delayMs(zone, placed.zone),
        );
      },
    });
    this.vms.set(name, vm);
    vm.setTargets(this.#targetList());
    vm.path.setEvacuatedZones(new Set(this.evacuatedZones), this.loop.now);
    this.publishMembers();
  }

  /** Gives all running VMs the set of running VMs, as it is after {@link MEMBERSHIP_DELAY_MS}. */
  publishMembers(): void {
    this.loop.after(MEMBERSHIP_DELAY_MS, () => {
      const owners = [...this.vms.values()].filter(({ isUp }) => isUp)
        .map(({ vm, region }) => ({ vm, region, hash: hashText(vm) }));
      for (const vm of this.vms.values()) {
        if (vm.isUp) {
          vm.path.steering.setVms(owners);
          vm.path.steering.setFleetSize(this.vms.size);
          vm.homes?.setVms(owners);
        }
      }
    });
  }

  /** Running VMs that own homes of objects. */
  homeOwners(): readonly EmulatedVm[] {
    return [...this.vms.values()]
      .filter(({ isUp, homes }) => isUp && (homes?.owned.size ?? 0) > 0);
  }

  get #retryBound(): RetryBound {
    const { ratio, fixed, windowS } = this.scenario.retries;
    return { ratio, fixed, windowMs: windowS * 1_000 };
  }

  #createHomes(vm: VmId, zone: ZoneId): EmulatedHomes {
    return new EmulatedHomes({
      self: { vm, region: this.regionOf(zone), hash: hashText(vm) },
      loop: this.loop,
      send: (to, datagram) => {
        const receiver = this.vms.get(to);
        const isLost = this.#homeLosses.uniform() < this.scenario.homeLossShare;
        if (receiver !== undefined && !isLost) {
          this.loop.after(
            this.#delayMs(zone, receiver.zone),
            () => receiver.homes?.receive(datagram, vm),
          );
        }
      },
    });
  }

  /** Reports a warm target to the other VMs of the region; those of the same zone get it first. */
  #publishWarmTarget(from: VmId, pair: HashedPair): void {
    const { zone, region } = this.vms.get(from)!;
    const { warmNearMs, warmFarMs } = this.scenario.delaysMs;
    for (const isNear of [true, false]) {
      this.loop.after(isNear ? warmNearMs : warmFarMs, () => {
        for (const vm of this.vms.values()) {
          const isReceiver = vm.isUp && vm.vm !== from &&
            vm.region === region &&
            (vm.zone === zone) === isNear;
          if (isReceiver) {
            vm.path.steering.addWarmPair(pair, this.loop.now);
          }
        }
      });
    }
  }

  #createSteering(options: SteeringOptions): Steering {
    switch (this.#policy) {
      case "gateway":
        return new Steering(options);
      case "oracle":
        return this.#createOracle(options);
    }
  }

  #createOracle(options: SteeringOptions): Steering {
    const { zone } = options.location;
    return new OracleSteering(options, {
      targets: ({ service }) =>
        this.liveTargets().filter(({ placed }) =>
          placed.service === service && !this.evacuatedZones.has(placed.zone)
        ),
      responseAt: (target, { object, service }) => {
        const delayMs = this.#delayMs(zone, target.placed.zone);
        const job = this.#jobs.jobFor(object, service);
        const startsAt = Math.max(target.nextSlotAt, this.loop.now + delayMs);
        return startsAt + target.durationMs(job) + delayMs;
      },
    });
  }

  /** Records what the oracle knows of a request. */
  recordJob(request: EmulatedRequest, kind: RequestKind): void {
    if (this.#policy === "oracle") {
      this.#jobs.record(request, kind);
    }
  }

  #startTargets(): void {
    for (const service of this.scenario.services) {
      for (const [zone, count] of Object.entries(service.targets)) {
        for (let index = 0; index < count; index++) {
          this.addTarget(service, zone as ZoneId);
        }
      }
    }
  }

  #targetList(): ReadonlyMap<TargetId, RegisteredTarget> {
    return new Map(
      [...this.targets.values()].filter(({ isListed }) => isListed)
        .map((target) => [target.placed.id, listEntryOf(target)]),
    );
  }

  #delayMs(from: ZoneId, to: ZoneId): number {
    const { inZone, crossZone, crossRegion } = this.scenario.delaysMs;
    if (from === to) {
      return inZone;
    }
    return this.regionOf(from) === this.regionOf(to) ? crossZone : crossRegion;
  }
}

function routeOf(kind: RequestKind): Route {
  return {
    name: kind.name,
    host: "emulated",
    prefix: `/${kind.name}/`,
    repeat: kind.repeat,
    timeoutMs: kind.timeoutMs,
    latencyObjectiveMs: kind.aimMs,
    priority: kind.priority,
    split: Object.entries(kind.services).map(([service, weight]) => ({
      service: service as ServiceId,
      weight,
    })),
    maxAttempts: 3,
    hasAffinity: kind.objects > 0,
    regions: [],
    isPublic: true,
  };
}

function serviceOf(service: ScenarioService): Service {
  return {
    id: service.name as ServiceId,
    healthPath: "/healthz",
    maxConnections: 1_000,
    coldMs: service.coldMs,
    coldPerSecond: service.coldPerSecond,
  };
}
