/**
 * Common load-balancing schemes without admission control: requests beyond a
 * target's slots queue at the target.
 *
 * @module
 */

import type { VmEntry } from "@poplarthread/decisions";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { FakeTarget } from "./fake_target.ts";
import type { BenchRequest, Scheme, World } from "./world.ts";

/** Picks one of the given targets. */
export type Picker = (
  targets: readonly FakeTarget[],
  ctx: { vm: VmEntry; rng: RandomGenerator },
) => FakeTarget;

/** Interval between load reports of a target; a report in use is up to this
 * old. */
const REPORT_INTERVAL_MS = 1_000;

/** Sends each request immediately to a picked target of the VM's region. */
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
        this.#world.respond(
          req,
          outcome === "answered" ? { kind: "served" } : { kind: "unknown" },
        ),
    });
  }
}

/** A service's live targets in the VM's region, or in all regions if there are
 * none. */
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

/** Picks a random target. */
export function pickRandom(): Picker {
  return (targets, { rng }) => targets[uniformInt(rng, 0, targets.length - 1)]!;
}

/** Round robin, kept separately by each VM. */
export function pickRoundRobin(): Picker {
  const positions = new Map<string, number>();
  return (targets, { vm }) => {
    const key = `${vm.vm} ${targets[0]!.entry.service}`;
    const position = positions.get(key) ?? 0;
    positions.set(key, position + 1);
    return targets[position % targets.length]!;
  };
}

/** Picks the less loaded of two random targets by their load reports, which are
 * up to {@link REPORT_INTERVAL_MS} old. */
export function pickTwoChoices(world: World): Picker {
  const reports = new Map<FakeTarget, number>();
  const refresh = (): void => {
    for (const target of world.targets.values()) {
      reports.set(target, target.load);
    }
    world.loop.after(REPORT_INTERVAL_MS, refresh);
  };
  refresh();
  return pickLessLoaded((target) => reports.get(target)!);
}

/** Picks the less loaded of two random targets, according to `loadOf`. */
export function pickLessLoaded(loadOf: (target: FakeTarget) => number): Picker {
  return (targets, { rng }) => {
    const a = targets[uniformInt(rng, 0, targets.length - 1)]!;
    const b = targets[uniformInt(rng, 0, targets.length - 1)]!;
    return loadOf(a) <= loadOf(b) ? a : b;
  };
}
