/**
 * The targets that objects of a service can have their homes on, as one region's
 * owner sees them: how much work they can do, and how much of it is asked of them.
 *
 * It answers uneven load: rendezvous hashing alone gives some targets three times
 * the mean number of objects, and targets that are slower as many as others.
 *
 * @module
 */

import type { RegionId } from "@poplarthread/ids";
import { pairWeight } from "../hash.ts";
import type { HomeTarget } from "./home_agent.ts";
import type { TargetObservation, TargetShare } from "./messages.ts";
import { RemoteLoads } from "./remote_loads.ts";

/** A region gives objects homes elsewhere once its load exceeds this multiple of the mean. */
const REGION_BOUND = 1.1;
/** At this load requests seldom wait, so a target takes any object up to it. */
const FREE_LOAD = 0.25;
/** Beyond this load requests queue, so that a target takes more only if all have to. */
const FULL_LOAD = 0.8;
/** Limit of a target's load, as a multiple of the mean, when targets are full. */
const FULL_BOUND = 1.25;
/** A target is crowded at this multiple of the limit, so that noise moves no objects. */
const CROWDED_MARGIN = 1.2;
/** Weight of one request in the mean pace, small enough to outlast a short stall. */
const PACE_GAIN = 0.03;
/** A further home is the least loaded of this many, so that it is mostly the same one. */
const NEAR_TARGETS = 8;
/** Limits of a believable pace. */
const MIN_PACE = 0.25;
const MAX_PACE = 8;

/** A target with what is known of its load. */
interface TargetState {
  readonly target: HomeTarget;
  /** Slots over the mean pace. */
  capacity: number;
  pace: number;
  /** Slots kept busy by objects of this region. */
  busySlots: number;
  /** Homes that objects of this region have there. */
  homes: number;
  /** Slots kept busy by objects of other regions. */
  remoteSlots: number;
}

/** Work and capacity of several targets. */
interface LoadSum {
  readonly busySlots: number;
  readonly capacity: number;
  readonly homes: number;
}

/** A home to choose. */
export interface HomeChoice {
  readonly object: number;
  /** Slots that the object would keep busy there. */
  readonly busySlots: number;
  /** Targets that must not be chosen. */
  readonly except: readonly number[];
}

/** Options of {@link HomeTargets}. */
export interface HomeTargetsOptions {
  readonly region: RegionId;
  /** Limit of a target's load, as a multiple of the mean load. */
  readonly bound: number;
}

/** See the module comment. Times are milliseconds of the monotonic clock. */
export class HomeTargets {
  readonly #options: HomeTargetsOptions;
  readonly #states = new Map<number, TargetState>();
  readonly #remote = new RemoteLoads();
  #all: readonly TargetState[] = [];
  #own: readonly TargetState[] = [];

  constructor(options: HomeTargetsOptions) {
    this.#options = options;
  }

  /** Sets the targets; returns those that are gone or have restarted. */
  set(targets: readonly HomeTarget[]): ReadonlySet<number> {
    const lost = new Set(this.#states.keys());
    const kept = new Map<number, TargetState>();
    for (const target of targets) {
      const known = this.#states.get(target.hash);
      if (known?.target.startedAt === target.startedAt) {
        lost.delete(target.hash);
      }
      kept.set(target.hash, stateOf(target, known));
    }
    this.#states.clear();
    kept.forEach((state, hash) => this.#states.set(hash, state));
    this.#all = [...kept.values()];
    this.#own = this.#all.filter(({ target }) =>
      target.region === this.#options.region
    );
    return lost;
  }

  /** Whether objects can have a home on the target. */
  has(target: number): boolean {
    return this.#states.has(target);
  }

  /** Sets the numbers of VMs by region, which stand in for callers of regions not heard of. */
  setVms(vms: ReadonlyMap<RegionId, number>): void {
    this.#remote.setVms(vms);
  }

  /** Adds the load of an object's home; negative values remove it. */
  add(target: number, busySlots: number, homes: number): void {
    const state = this.#states.get(target);
    if (state !== undefined) {
      state.busySlots = Math.max(0, state.busySlots + busySlots);
      state.homes += homes;
    }
  }

  /** Records the targets' pace as observed by a VM. */
  observe(observations: readonly TargetObservation[]): void {
    for (const { target, pace, requests } of observations) {
      const state = this.#states.get(target);
      if (state !== undefined && pace !== undefined) {
        const believable = Math.min(MAX_PACE, Math.max(MIN_PACE, pace));
        const gain = 1 - (1 - PACE_GAIN) ** requests;
        state.pace += gain * (believable - state.pace);
        state.capacity = state.target.slots / state.pace;
      }
    }
  }

  /** Records the load that another region's objects put on targets. */
  setRemote(
    region: RegionId,
    loads: readonly TargetShare[],
    now: number,
  ): void {
    this.#remote.set(region, loads, now);
    for (const { target } of loads) {
      const state = this.#states.get(target);
      if (state !== undefined) {
        state.remoteSlots = this.#remote.slotsOn(target);
      }
    }
  }

  /** Forgets what other regions have not confirmed for a while. */
  refresh(now: number): void {
    this.#remote.expire(now);
    for (const state of this.#all) {
      state.remoteSlots = this.#remote.slotsOn(state.target.hash);
    }
  }

  /** Slots over the mean pace; 0 if the target is not known. */
  capacityOf(target: number): number {
    return this.#states.get(target)?.capacity ?? 0;
  }

  /** Share of the target's capacity that is asked of it. */
  loadOf(target: number): number {
    const state = this.#states.get(target);
    return state === undefined ? 0 : loadWith(state, 0);
  }

  /** Targets whose load exceeds the bound. */
  crowded(): readonly number[] {
    const limit = CROWDED_MARGIN * this.#loadLimit(this.#meanLoad(0));
    return this.#all
      .filter((state) => state.homes > 0 && loadWith(state, 0) > limit)
      .map(({ target }) => target.hash);
  }

  /**
   * The first target of the object's rendezvous order that stays within the bounds
   * of load and number of homes, else the least loaded one.
   */
  choose({ object, busySlots, except }: HomeChoice): number | undefined {
    const candidates = this.#candidates(busySlots);
    const loadLimit = this.#loadLimit(this.#meanLoad(busySlots));
    const homeLimit = this.#homeLimit(candidates);
    let best: number | undefined;
    let bestWeight = -1;
    let leastLoaded: number | undefined;
    let leastLoad = Infinity;
    for (const state of candidates) {
      const { hash } = state.target;
      if (except.includes(hash)) {
        continue;
      }
      const load = loadWith(state, busySlots);
      if (load < leastLoad) {
        leastLoad = load;
        leastLoaded = hash;
      }
      if (load <= loadLimit && state.homes < homeLimit) {
        const weight = pairWeight(object, hash);
        if (weight > bestWeight) {
          bestWeight = weight;
          best = hash;
        }
      }
    }
    return best ?? leastLoaded;
  }

  /** The least loaded among the first targets of the object's rendezvous order. */
  chooseNear({ object, busySlots, except }: HomeChoice): number | undefined {
    const near = firstStates(this.#candidates(busySlots), object, except);
    let least: TargetState | undefined;
    for (const state of near) {
      if (
        least === undefined ||
        loadWith(state, busySlots) < loadWith(least, busySlots)
      ) {
        least = state;
      }
    }
    return least?.target.hash;
  }

  /** The load that this region's objects put on targets. */
  shares(): readonly TargetShare[] {
    return this.#all
      .filter(({ homes }) => homes > 0)
      .map(({ target, busySlots }) => ({ target: target.hash, busySlots }));
  }

  /** Number of homes of the region's objects. */
  get homes(): number {
    return this.#all.reduce((total, { homes }) => total + homes, 0);
  }

  /** Load of the busiest target, as a multiple of the mean; 1 without any load. */
  get peakLoad(): number {
    const { busySlots, capacity } = sum(this.#all);
    const loads = this.#all.map((state) => loadWith(state, 0));
    return busySlots === 0 ? 1 : Math.max(...loads) * capacity / busySlots;
  }

  /** Load and capacity of the region's own targets. */
  ownLoad(): { readonly busySlots: number; readonly capacity: number } {
    return sum(this.#own);
  }

  /**
   * The region's own targets until their load exceeds that of the others, then all.
   * As long as each object can have a target of its own, no other region is needed.
   */
  #candidates(busySlots: number): readonly TargetState[] {
    const own = sum(this.#own);
    if (own.capacity === 0) {
      return this.#all;
    }
    const load = (own.busySlots + busySlots) / own.capacity;
    const limit = REGION_BOUND * this.#meanLoad(busySlots);
    const isEnough = own.homes < this.#own.length || load <= limit;
    return isEnough ? this.#own : this.#all;
  }

  /** The mean load of all targets, with the expected load of regions not heard of. */
  #meanLoad(busySlots: number): number {
    const all = sum(this.#all);
    const ours = this.#all.reduce((total, state) => total + state.busySlots, 0);
    const unheard = this.#remote.expectedSlots(
      ours + busySlots,
      this.#options.region,
    );
    return (all.busySlots + unheard + busySlots) / Math.max(1, all.capacity);
  }

  #loadLimit(meanLoad: number): number {
    const { bound } = this.#options;
    const full = Math.max(FULL_LOAD, Math.min(bound, FULL_BOUND) * meanLoad);
    return Math.max(FREE_LOAD, Math.min(bound * meanLoad, full));
  }

  /** Targets cache few objects, and rates of new objects are not known yet. */
  #homeLimit(candidates: readonly TargetState[]): number {
    const { homes } = sum(candidates);
    const mean = (homes + 1) / Math.max(1, candidates.length);
    return Math.ceil(this.#options.bound * mean);
  }
}

/** The state of a target; a restart keeps its pace, but no homes. */
function stateOf(
  target: HomeTarget,
  known: TargetState | undefined,
): TargetState {
  const pace = known?.pace ?? 1;
  return {
    target,
    pace,
    capacity: target.slots / pace,
    busySlots: known?.busySlots ?? 0,
    homes: known?.homes ?? 0,
    remoteSlots: known?.remoteSlots ?? 0,
  };
}

/** The first targets of an object's rendezvous order. */
function firstStates(
  states: readonly TargetState[],
  object: number,
  except: readonly number[],
): readonly TargetState[] {
  const first: TargetState[] = [];
  const weights: number[] = [];
  for (const state of states) {
    const weight = pairWeight(object, state.target.hash);
    const isFirst = first.length < NEAR_TARGETS || weight > weights.at(-1)!;
    if (isFirst && !except.includes(state.target.hash)) {
      const at = weights.findIndex((other) => other < weight);
      const position = at < 0 ? first.length : at;
      first.splice(position, 0, state);
      weights.splice(position, 0, weight);
      first.length = Math.min(first.length, NEAR_TARGETS);
      weights.length = first.length;
    }
  }
  return first;
}

function loadWith(state: TargetState, busySlots: number): number {
  return (state.busySlots + state.remoteSlots + busySlots) / state.capacity;
}

function sum(states: readonly TargetState[]): LoadSum {
  let busySlots = 0;
  let capacity = 0;
  let homes = 0;
  for (const state of states) {
    busySlots += state.busySlots + state.remoteSlots;
    capacity += state.capacity;
    homes += state.homes;
  }
  return { busySlots, capacity, homes };
}
