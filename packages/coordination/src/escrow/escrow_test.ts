import fc from "fast-check";
import { expect, test } from "vitest";
import { EscrowWorld, POOL, TIMES } from "./escrow_world.ts";

const SEED = 20_261;
/** Test timeout. The result does not depend on time, but a busy host needs longer. */
const EXPLORING_MS = 60_000;
const ALL = [0, 1, 2, 3];

function settledWorld(total = 8): EscrowWorld {
  const world = new EscrowWorld(total, [1, 0.99, 1.01, 1]);
  world.writePlan(0, ALL);
  ALL.forEach((n) => world.readPlan(n));
  world.run(500);
  return world;
}

function heldByAll(world: EscrowWorld): readonly number[] {
  return ALL.map((n) => world.held(n));
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((a, b) => a + b, 0);
}

interface Step {
  readonly label: string;
  run(world: EscrowWorld): void;
}

/** One step of a random trace; no slot may be held twice after any step. */
class Command implements fc.Command<object, EscrowWorld> {
  readonly #step: Step;

  constructor(step: Step) {
    this.#step = step;
  }

  check(): boolean {
    return true;
  }

  run(_model: object, world: EscrowWorld): void {
    this.#step.run(world);
    expect(world.occupied()).toBeLessThanOrEqual(world.total);
  }

  toString(): string {
    return this.#step.label;
  }
}

const node = fc.nat(3);
type Run = (world: EscrowWorld) => void;
const some = fc.subarray(ALL, { minLength: 1 });
/** Steps and their weights, chosen so that most traces have active loans when a fault occurs. */
const steps: Readonly<Record<string, [number, fc.Arbitrary<Run>]>> = {
  advance: [3, fc.nat(600).map((ms) => (world) => world.now += ms)],
  run: [
    8,
    fc.tuple(fc.integer({ min: 100, max: 600 }), some)
      .map(([ms, among]) => (world) => world.run(ms, among)),
  ],
  longRun: [1, some.map((among) => (world) => world.run(5_000, among))],
  tick: [4, node.map((n) => (world) => world.act(n, (c, now) => c.tick(now)))],
  want: [
    4,
    fc.tuple(node, fc.constantFrom(0, 3, 6)).map(([n, slots]) => (world) =>
      world.act(n, (core, now) => core.setWanted(POOL, slots, now))
    ),
  ],
  deliver: [
    6,
    fc.tuple(fc.nat(40), fc.boolean())
      .map(([at, keep]) => (world) => world.deliver(at, keep)),
  ],
  drop: [2, fc.nat(40).map((at) => (world) => world.drop(at))],
  acquire: [
    4,
    fc.tuple(node, fc.nat(900))
      .map(([n, ms]) => (world) => world.acquire(n, ms)),
  ],
  finish: [2, fc.nat(8).map((at) => (world) => world.finish(at))],
  restart: [1, node.map((n) => (world) => world.restart(n))],
  writePlan: [
    1,
    fc.tuple(node, some)
      .map(([n, owners]) => (world) => world.writePlan(n, owners)),
  ],
  readPlan: [3, node.map((n) => (world) => world.readPlan(n))],
};

const commands = Object.entries(steps).flatMap(([label, [weight, arbitrary]]) =>
  Array.from(
    { length: weight },
    () => arbitrary.map((run) => new Command({ label, run })),
  )
);

// Messages are lost, duplicated and reordered; VMs pause and restart; plans
// change while loans are active. If a slot were ever counted on two VMs, a
// target with three slots would be sent a fourth request and refuse it.
test("slots held and in use never exceed the total under any faults", {
  timeout: EXPLORING_MS,
}, () => {
  fc.assert(
    fc.property(
      fc.commands(commands, { maxCommands: 80, size: "max" }),
      (trace) =>
        fc.modelRun(() => ({ model: {}, real: settledWorld() }), trace),
    ),
    { seed: SEED, numRuns: 150 },
  );
});

test("after the first plan every slot is held", () => {
  const world = settledWorld();
  expect(sum(heldByAll(world))).toBe(8);
});

// A VM in a busy zone uses all its own slots while others are idle. Without
// loans its callers would wait although slots are free.
test("a VM that lacks slots borrows from others, and returns the loans", () => {
  const world = settledWorld();
  const before = world.held(0);
  world.act(0, (core, now) => core.setWanted(POOL, before + 3, now));
  world.run(500);
  expect(world.held(0)).toBeGreaterThanOrEqual(before + 3);
  expect(sum(heldByAll(world))).toBe(8);
  world.act(0, (core, now) => core.setWanted(POOL, 0, now));
  world.run(500);
  expect(world.held(0)).toBe(before);
  expect(sum(heldByAll(world))).toBe(8);
});

// A VM fails permanently. Without the transfer its slots would stay unusable
// until an operator intervened.
test("the slots of a failed VM go to the others after its term", () => {
  const world = settledWorld();
  world.nodes[3]!.paused = true;
  world.writePlan(0, [0, 1, 2]);
  [0, 1, 2].forEach((n) => world.readPlan(n));
  world.run(TIMES.termMs / 2);
  expect(sum(heldByAll(world))).toBeLessThanOrEqual(8);
  world.run(TIMES.termMs * 2);
  expect(sum([0, 1, 2].map((n) => world.held(n)))).toBe(8);
});

// Two VMs are partitioned from the rest but reach each other, and renew each
// other's terms. If others received their slots, those would be used twice.
test("two unresponsive VMs keep their slots until the platform reports that they have ended", () => {
  const world = settledWorld();
  const theirs = world.held(2) + world.held(3);
  const unresponsive = [2, 3].map((n) => world.nodes[n]!);
  unresponsive.forEach((node) => node.paused = true);
  world.writePlan(0, [0, 1]);
  [0, 1].forEach((n) => world.readPlan(n));
  world.run(TIMES.termMs * 3);
  expect(world.held(0) + world.held(1)).toBe(8 - theirs);
  for (const { self } of unresponsive) {
    world.act(0, (core, now) => core.instanceEnded(self.instance, now));
    world.act(1, (core, now) => core.instanceEnded(self.instance, now));
  }
  expect(world.held(0) + world.held(1)).toBe(8);
});
