/**
 * Runs one scheme in a simulated environment under a given load.
 *
 * @module
 */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { RegionId } from "@poplarthread/ids";
import {
  type Deployment,
  meanMs,
  type ServiceWorkload,
  slotsIn,
} from "./deployment.ts";
import type { Metrics } from "./metrics.ts";
import {
  pickRandom,
  pickRoundRobin,
  PickScheme,
  pickTwoChoices,
} from "./scheme_baselines.ts";
import {
  assignOwnersByHash,
  ForwardScheme,
  ProbeScheme,
} from "./scheme_alternatives.ts";
import { CentralScheme } from "./scheme_central.ts";
import { SteeringScheme } from "./scheme_steering.ts";
import {
  type CallerRetryPolicy,
  type Load,
  type Scheme,
  World,
} from "./world.ts";

/** Factories of the steering schemes, by name. */
export const SCHEMES: Readonly<
  Record<string, (world: World, seed: number) => Scheme>
> = {
  steering: (world, seed) => new SteeringScheme(world, { seed }),
  central: (world) => new CentralScheme(world),
  random: (world, seed) => new PickScheme(world, { seed, pick: pickRandom() }),
  "round-robin": (world, seed) =>
    new PickScheme(world, { seed, pick: pickRoundRobin() }),
  "two-choices": (world, seed) =>
    new PickScheme(world, { seed, pick: pickTwoChoices(world) }),
  probing: (world, seed) => new ProbeScheme(world, seed),
  forwarding: (world) => new ForwardScheme(world),
  "no-lending": (world, seed) =>
    new SteeringScheme(world, { seed, variant: { lending: false } }),
  "hash-lending": (world, seed) =>
    new SteeringScheme(world, {
      seed,
      variant: { plan: (plan) => assignOwnersByHash(plan, world.vms) },
    }),
};

/** Specification of a run. */
export interface RunSpec {
  readonly deployment: Deployment;
  readonly scheme: string;
  readonly seed: number;
  readonly workloads?: readonly ServiceWorkload[];
  /** Offered load at time `now`, as a fraction of all slots. */
  readonly load: (now: number) => number;
  readonly seconds: number;
  /** Time at the start that is left out of the counts. */
  readonly warmUpSeconds?: number;
  readonly retryPolicy?: CallerRetryPolicy;
  readonly callers?: CallerPicker;
  /** Share of the load that comes from a region; equal shares by default. */
  readonly regionShare?: (region: RegionId, now: number) => number;
  readonly serviceTimeMs?: Load["serviceTimeMs"];
  /** Schedules faults and other events before the run starts. */
  readonly events?: (world: World) => void;
}

/** Picks the caller of a request. */
export type CallerPicker = (
  rng: RandomGenerator,
  region: RegionId,
) => { caller: string; tag?: string };

/** Time simulated after the last request: longer than the longest deadline. */
const SETTLE_MS = 11_000;

/** Number of callers per region, each with the same share of the load. */
const CALLERS_PER_REGION = 200;

/** Picks one of a region's callers with equal probability. */
export function uniformCaller(
  rng: RandomGenerator,
  region: RegionId,
): { caller: string; tag?: string } {
  return { caller: `${region}-${uniformInt(rng, 1, CALLERS_PER_REGION)}` };
}

/** Draws an exponentially distributed service time. */
export function exponentialServiceTime(
  rng: RandomGenerator,
  kind: { meanMs: number },
): number {
  return -Math.log(1 - uniformFloat64(rng)) * kind.meanMs;
}

/** Result of a run. */
export interface RunResult {
  readonly metrics: Metrics;
  /** Highest number of requests at any target beyond its slots. */
  readonly maxOverSlots: number;
  readonly world: World;
}

/** Runs a simulation to its end. */
export function run(spec: RunSpec): RunResult {
  const { deployment, seed } = spec;
  const regionCount = deployment.policy.regions.length;
  const load: Load = {
    ratePerMs(workload, region, now) {
      const share = spec.regionShare?.(region, now) ?? 1 / regionCount;
      return spec.load(now) * share * slotsIn(deployment, workload) /
        meanMs(workload);
    },
    caller: spec.callers ?? uniformCaller,
    retryPolicy: spec.retryPolicy ?? "once",
    serviceTimeMs: spec.serviceTimeMs ?? exponentialServiceTime,
  };
  const world = new World(deployment, { load, seed });
  world.scheme = SCHEMES[spec.scheme]!(world, seed + 1);
  world.countFrom = (spec.warmUpSeconds ?? 2) * 1_000;
  world.countTo = spec.seconds * 1_000;
  spec.events?.(world);
  world.start(spec.workloads ?? deployment.workloads);
  world.loop.runUntil(spec.seconds * 1_000 + SETTLE_MS);
  let maxOverSlots = 0;
  for (const target of world.targets.values()) {
    maxOverSlots = Math.max(maxOverSlots, target.maxOverSlots);
  }
  return { metrics: world.metrics, maxOverSlots, world };
}
