import fc from "fast-check";
import { expect, test } from "vitest";
import { EscrowWorld, POOL, TIMES } from "./escrow_world.ts";

const SEED = 20_261;
/** No verdict hangs on time; a busy host only takes longer to explore. */
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

/** One step of a random trace; after each, no slot may be held twice. */
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
/** Steps with their weights: most traces should have loans running when something breaks. */
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
      world.act(n, (core, now) => core.want(POOL, slots, now))
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

// Messages are lost, repeated and overtaken; VMs freeze and restart; plans
// change while loans run. Were a slot counted on two VMs even for an instant,
// a target with three slots would be sent a fourth request and refuse it.
test("slots held and in use never exceed the total, whatever happens", {
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

test("after the first plan every slot is held by someone", () => {
  const world = settledWorld();
  expect(sum(heldByAll(world))).toBe(8);
});

// A VM in a busy zone has used up its own slots while others idle. Without
// loans its callers would wait beside free slots.
test("a VM that lacks slots borrows what others can spare, and gives it back", () => {
  const world = settledWorld();
  const before = world.held(0);
  world.act(0, (core, now) => core.want(POOL, before + 3, now));
  world.run(500);
  expect(world.held(0)).toBeGreaterThanOrEqual(before + 3);
  expect(sum(heldByAll(world))).toBe(8);
  world.act(0, (core, now) => core.want(POOL, 0, now));
  world.run(500);
  expect(world.held(0)).toBe(before);
  expect(sum(heldByAll(world))).toBe(8);
});

// A VM dies for good. Its slots would be lost to the callers of all others
// until an operator stepped in.
test("the slots of a VM that died go to the others after its term", () => {
  const world = settledWorld();
  world.nodes[3]!.paused = true;
  world.writePlan(0, [0, 1, 2]);
  [0, 1, 2].forEach((n) => world.readPlan(n));
  world.run(TIMES.termMs / 2);
  expect(sum(heldByAll(world))).toBeLessThanOrEqual(8);
  world.run(TIMES.termMs * 2);
  expect(sum([0, 1, 2].map((n) => world.held(n)))).toBe(8);
});

// Two VMs are cut off from the rest but see each other, and vouch for each
// other's term. Handing their slots to others would use them twice.
test("the slots of two silent VMs stay theirs until the platform says they are gone", () => {
  const world = settledWorld();
  const theirs = world.held(2) + world.held(3);
  const silent = [2, 3].map((n) => world.nodes[n]!);
  silent.forEach((node) => node.paused = true);
  world.writePlan(0, [0, 1]);
  [0, 1].forEach((n) => world.readPlan(n));
  world.run(TIMES.termMs * 3);
  expect(world.held(0) + world.held(1)).toBe(8 - theirs);
  for (const { self } of silent) {
    world.act(0, (core, now) => core.gone(self.instance, now));
    world.act(1, (core, now) => core.gone(self.instance, now));
  }
  expect(world.held(0) + world.held(1)).toBe(8);
});
