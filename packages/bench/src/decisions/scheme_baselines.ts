/**
 * Ways of steering that others use, without admission: requests above a
 * target's slots queue up at the target.
 *
 * @module
 */

import type { VmEntry } from "@poplarthread/decisions";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { FakeTarget } from "./fake_target.ts";
import type { BenchRequest, Scheme, World } from "./world.ts";

/** Picks one of a region's targets. */
export type Picker = (
  targets: readonly FakeTarget[],
  ctx: { vm: VmEntry; rng: RandomGenerator },
) => FakeTarget;

/** How old a target's report on its load is when it is used. */
const REPORT_MS = 1_000;

/** A scheme that sends each request at once to a target of the VM's region. */
export class PickScheme implements Scheme {
  readonly #world: World;
  readonly #rng: RandomGenerator;
  readonly #pick: Picker;

  constructor(world: World, opts: { seed: number; pick: Picker }) {
    this.#world = world;
    this.#rng = xoroshiro128plus(opts.seed);
    this.#pick = opts.pick;
  }

  arrive(req: BenchRequest, vm: VmEntry): void {
    const targets = localTargets(this.#world, req, vm);
    const target = this.#pick(targets, { vm, rng: this.#rng });
    this.#world.send(req, vm, {
      target: target.entry.target,
      done: (outcome) =>
        this.#world.answer(
          req,
          outcome === "answered" ? { kind: "served" } : { kind: "unknown" },
        ),
    });
  }
}

/** Targets of the VM's region that the lists name as serving. */
export function localTargets(
  world: World,
  req: BenchRequest,
  vm: VmEntry,
): FakeTarget[] {
  const all = [...world.targets.values()].filter((target) =>
    target.entry.service === req.service && !target.faults.dead
  );
  const local = all.filter((target) => target.entry.region === vm.region);
  return local.length > 0 ? local : all;
}

/** Any target. */
export function pickRandom(): Picker {
  return (targets, { rng }) => targets[uniformInt(rng, 0, targets.length - 1)]!;
}

/** Each target in turn, for each VM by itself. */
export function pickRoundRobin(): Picker {
  const turns = new Map<string, number>();
  return (targets, { vm }) => {
    const key = `${vm.vm} ${targets[0]!.entry.service}`;
    const turn = turns.get(key) ?? 0;
    turns.set(key, turn + 1);
    return targets[turn % targets.length]!;
  };
}

/** The less loaded of two, by the targets' reports, which lag. */
export function pickTwoChoices(world: World): Picker {
  const reports = new Map<FakeTarget, number>();
  const refresh = (): void => {
    for (const target of world.targets.values()) {
      reports.set(target, target.load);
    }
    world.loop.after(REPORT_MS, refresh);
  };
  refresh();
  return twoChoices((target) => reports.get(target)!);
}

/** The less loaded of two, by each VM's own requests in flight. */
export function twoChoices(loadOf: (target: FakeTarget) => number): Picker {
  return (targets, { rng }) => {
    const a = targets[uniformInt(rng, 0, targets.length - 1)]!;
    const b = targets[uniformInt(rng, 0, targets.length - 1)]!;
    return loadOf(a) <= loadOf(b) ? a : b;
  };
}
