/**
 * What goes wrong, or is planned, in a day.
 *
 * @module
 */

import type { ZoneId } from "@poplarthread/ids";
import type { EmulatedTarget } from "./emulated_target.ts";
import type { ScenarioEvent } from "./scenario.ts";
import type { World } from "./world.ts";

/** A target that leaves serves on for this long, in milliseconds. */
const DRAIN_MS = 2_500;
/** A target that is replaced is back after this long, in milliseconds. */
const RELEASE_MS = 1_500;

/** Lets an event begin, and plans its end. */
export function strike(world: World, event: ScenarioEvent): void {
  switch (event.kind) {
    case "burst":
      world.traffic.factor *= event.factor;
      after(world, event.forS, () => world.traffic.factor /= event.factor);
      return;
    case "shift": {
      const { from, to, share } = event;
      const shift = { from, to, share };
      world.traffic.shifts.add(shift);
      after(world, event.forS, () => world.traffic.shifts.delete(shift));
      return;
    }
    case "slow":
      for (const target of world.random.sample(world.live(), event.share)) {
        target.slowFactor = event.factor;
        after(world, event.forS, () => target.slowFactor = 1);
      }
      return;
    case "grey":
      for (const target of world.random.sample(world.live(), event.share)) {
        target.failShare = event.fails;
        after(world, event.forS, () => target.failShare = 0);
      }
      return;
    case "crash":
      for (const target of world.random.sample(world.live(), event.share)) {
        crash(world, target, event.forS);
      }
      return;
    case "zone-returns":
      for (const target of world.live()) {
        if (target.placed.zone === event.zone) {
          crash(world, target, event.forS);
        }
      }
      return;
    case "scale-in":
      for (const target of world.random.sample(world.live(), event.share)) {
        drain(world, target);
      }
      return;
    case "scale-out":
      scaleOut(world, event.share);
      return;
    case "release":
      release(
        world,
        world.random.sample(world.live(), event.share),
        event.gapS,
      );
      return;
    case "evacuate":
      world.evacuated.add(event.zone as ZoneId);
      world.publishEvacuations();
      after(world, event.forS, () => {
        world.evacuated.delete(event.zone as ZoneId);
        world.publishEvacuations();
      });
      return;
    case "restart-vms":
      for (
        const vm of world.random.sample([...world.vms.values()], event.share)
      ) {
        vm.kill();
        after(world, event.forS, () => world.startVm(vm.vm, vm.zone));
      }
      world.meet();
      return;
  }
}

/** A target ends without a word, and is back after `forS`. */
function crash(
  world: World,
  target: EmulatedTarget,
  forS: number | undefined,
): void {
  target.crash();
  const { life } = target;
  after(world, world.scenario.silentEntryS, () => {
    if (!target.isUp && target.life === life) {
      target.isListed = false;
      world.publish();
    }
  });
  if (forS !== undefined) {
    after(world, forS, () => {
      target.start();
      world.publish();
    });
  }
}

/** A target says that it leaves, serves on for a while, and ends. */
function drain(world: World, target: EmulatedTarget, ended?: () => void): void {
  target.isLeaving = true;
  world.publish();
  world.loop.after(DRAIN_MS, () => {
    target.crash();
    target.isListed = false;
    world.publish();
    ended?.();
  });
}

function scaleOut(world: World, share: number): void {
  for (const like of world.random.sample(world.live(), share)) {
    const target = world.addTarget(like.service, like.placed.zone);
    target.start();
  }
  world.publish();
}

function release(
  world: World,
  targets: readonly EmulatedTarget[],
  gapS: number,
): void {
  targets.forEach((target, index) =>
    after(
      world,
      index * gapS,
      () =>
        drain(world, target, () =>
          world.loop.after(RELEASE_MS, () => {
            target.start();
            world.publish();
          })),
    )
  );
}

function after(world: World, seconds: number, run: () => void): void {
  world.loop.after(seconds * 1_000, run);
}
