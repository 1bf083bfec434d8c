/**
 * One run: a scheme in a world under a load.
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
  type ServiceWork,
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
  ForwardScheme,
  ownedByHash,
  ProbeScheme,
} from "./scheme_alternatives.ts";
import { CentralScheme } from "./scheme_central.ts";
import { SteeringScheme } from "./scheme_steering.ts";
import { type CallerManners, type Load, type Scheme, World } from "./world.ts";

/** Ways of steering, by name. */
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
      variant: { plan: (plan) => ownedByHash(plan, world.vms) },
    }),
};

/** What a run is made of. */
export interface RunSpec {
  readonly deployment: Deployment;
  readonly scheme: string;
  readonly seed: number;
  readonly services?: readonly ServiceWork[];
  /** Load as a share of all slots, by time. */
  readonly load: (now: number) => number;
  readonly seconds: number;
  /** Left out of the counts at the start. */
  readonly warmUpSeconds?: number;
  readonly manners?: CallerManners;
  readonly callers?: CallerPicker;
  /** Share of the load that comes from a region; a third each by default. */
  readonly regionShare?: (region: RegionId, now: number) => number;
  readonly workMs?: Load["workMs"];
  /** Sets faults and events up. */
  readonly events?: (world: World) => void;
}

/** Picks the caller of a request. */
export type CallerPicker = (
  rng: RandomGenerator,
  region: RegionId,
) => { caller: string; tag?: string };

/** Time after the last request, for the longest deadline. */
const SETTLE_MS = 11_000;

/** Callers of a region, each with the same share of the load. */
const CALLERS = 200;

/** Even callers. */
export function evenCallers(
  rng: RandomGenerator,
  region: RegionId,
): { caller: string; tag?: string } {
  return { caller: `${region}-${uniformInt(rng, 1, CALLERS)}` };
}

/** Exponentially distributed work. */
export function exponentialWork(
  rng: RandomGenerator,
  kind: { meanMs: number },
): number {
  return -Math.log(1 - uniformFloat64(rng)) * kind.meanMs;
}

/** What a run gave. */
export interface RunResult {
  readonly metrics: Metrics;
  /** Most requests at one target above its slots. */
  readonly mostOver: number;
  readonly world: World;
}

/** Runs one. */
export function run(spec: RunSpec): RunResult {
  const { deployment, seed } = spec;
  const regions = deployment.policy.regions.length;
  const load: Load = {
    rate(work, region, now) {
      const share = spec.regionShare?.(region, now) ?? 1 / regions;
      return spec.load(now) * share * slotsIn(deployment, work) / meanMs(work);
    },
    caller: spec.callers ?? evenCallers,
    manners: spec.manners ?? "once",
    workMs: spec.workMs ?? exponentialWork,
  };
  const world = new World(deployment, { load, seed });
  world.scheme = SCHEMES[spec.scheme]!(world, seed + 1);
  world.countFrom = (spec.warmUpSeconds ?? 2) * 1_000;
  world.countTo = spec.seconds * 1_000;
  spec.events?.(world);
  world.start(spec.services ?? deployment.work);
  world.loop.runUntil(spec.seconds * 1_000 + SETTLE_MS);
  let mostOver = 0;
  for (const target of world.targets.values()) {
    mostOver = Math.max(mostOver, target.mostOver);
  }
  return { metrics: world.metrics, mostOver, world };
}
