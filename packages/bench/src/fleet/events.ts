/**
 * Events of a scenario: faults, load changes and planned operations.
 *
 * @module
 */

import type { ZoneId } from "@poplarthread/ids";
import type { EmulatedTarget } from "./emulated_target.ts";
import type { EmulatedVm } from "./emulated_vm.ts";
import type { ScenarioEvent } from "./scenario.ts";
import type { World } from "./world.ts";

/** A leaving target keeps serving for this long. */
const DRAIN_MS = 2_500;
/** Time from the stop of a target in a release to the start of its new instance. */
const REPLACEMENT_MS = 1_500;

/** Starts an event and schedules its end. */
export function applyEvent(world: World, event: ScenarioEvent): void {
  switch (event.kind) {
    case "burst":
      burst(world, event);
      return;
    case "shift": {
      const { from, to, share } = event;
      const shift = { from, to, share };
      world.traffic.shifts.add(shift);
      afterSeconds(world, event.forS, () => world.traffic.shifts.delete(shift));
      return;
    }
    case "slow":
      for (
        const target of world.random.sample(world.liveTargets(), event.share)
      ) {
        target.slowFactor = event.factor;
        afterSeconds(world, event.forS, () => target.slowFactor = 1);
      }
      return;
    case "grey":
      for (
        const target of world.random.sample(world.liveTargets(), event.share)
      ) {
        target.failureShare = event.fails;
        afterSeconds(world, event.forS, () => target.failureShare = 0);
      }
      return;
    case "shed":
      for (const target of world.targets.values()) {
        if (target.service.name === event.service) {
          target.refusedShare = event.share;
          afterSeconds(world, event.forS, () => target.refusedShare = 0);
        }
      }
      return;
    case "crash":
      for (
        const target of world.random.sample(world.liveTargets(), event.share)
      ) {
        crash(world, target, event.forS);
      }
      return;
    case "zone-returns":
      for (const target of world.liveTargets()) {
        if (target.placed.zone === event.zone) {
          crash(world, target, event.forS);
        }
      }
      return;
    case "scale-in":
      for (
        const target of world.random.sample(world.liveTargets(), event.share)
      ) {
        drain(world, target);
      }
      return;
    case "scale-out":
      scaleOut(world, event.share);
      return;
    case "release":
      release(
        world,
        world.random.sample(world.liveTargets(), event.share),
        event.gapS,
      );
      return;
    case "evacuate":
      world.evacuatedZones.add(event.zone as ZoneId);
      world.publishEvacuations();
      afterSeconds(world, event.forS, () => {
        world.evacuatedZones.delete(event.zone as ZoneId);
        world.publishEvacuations();
      });
      return;
    case "restart-vms":
      killVms(
        world,
        world.random.sample([...world.vms.values()], event.share),
        event.forS,
      );
      return;
    case "kill-home-owner":
      killVms(world, world.homeOwners(), event.forS);
      return;
  }
}

function burst(
  world: World,
  { requestKind, factor, forS }: Extract<ScenarioEvent, { kind: "burst" }>,
): void {
  const { traffic } = world;
  if (requestKind === undefined) {
    traffic.factor *= factor;
    afterSeconds(world, forS, () => traffic.factor /= factor);
    return;
  }
  const burst = { requestKind, factor };
  traffic.kindBursts.add(burst);
  afterSeconds(world, forS, () => traffic.kindBursts.delete(burst));
}

/** Stops VMs, and restarts them without state after `forS`, if given. */
function killVms(
  world: World,
  vms: readonly EmulatedVm[],
  forS: number | undefined,
): void {
  for (const vm of vms) {
    vm.kill();
    if (forS !== undefined) {
      afterSeconds(world, forS, () => world.startVm(vm.vm, vm.zone));
    }
  }
  world.publishMembers();
}

/**
 * Crashes a target and restarts it after `forS`, if given. The platform drops the
 * entry of a target that is still down after `silentEntryS`.
 */
function crash(
  world: World,
  target: EmulatedTarget,
  forS: number | undefined,
): void {
  target.crash();
  const { instance } = target;
  afterSeconds(world, world.scenario.silentEntryS, () => {
    if (!target.isUp && target.instance === instance) {
      target.isListed = false;
      world.publishTargets();
    }
  });
  if (forS !== undefined) {
    afterSeconds(world, forS, () => {
      target.start();
      world.publishTargets();
    });
  }
}

/** Marks a target as leaving, and stops it after {@link DRAIN_MS}. */
function drain(
  world: World,
  target: EmulatedTarget,
  stopped?: () => void,
): void {
  target.isLeaving = true;
  world.publishTargets();
  world.loop.after(DRAIN_MS, () => {
    target.crash();
    target.isListed = false;
    world.publishTargets();
    stopped?.();
  });
}

function scaleOut(world: World, share: number): void {
  for (const template of world.random.sample(world.liveTargets(), share)) {
    const target = world.addTarget(template.service, template.placed.zone);
    target.start();
  }
  world.publishTargets();
}

function release(
  world: World,
  targets: readonly EmulatedTarget[],
  gapS: number,
): void {
  targets.forEach((target, index) =>
    afterSeconds(
      world,
      index * gapS,
      () =>
        drain(world, target, () =>
          world.loop.after(REPLACEMENT_MS, () => {
            target.start();
            world.publishTargets();
          })),
    )
  );
}

function afterSeconds(world: World, seconds: number, run: () => void): void {
  world.loop.after(seconds * 1_000, run);
}
