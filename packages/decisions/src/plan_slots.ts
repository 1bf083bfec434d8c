/**
 * Computes which VM should own how many slots of which target.
 *
 * Requests arrive unevenly at the VMs of a region, and traffic between zones
 * takes time. Slots owned by the VM that receives the requests need not be lent
 * for each request, and slots in the VM's own zone are free again 2 to 3 ms
 * sooner: with requests of 40 ms, a slot used across zones serves 6 % fewer of
 * them.
 *
 * @module
 */

import type { RegionId, ServiceId, TargetId, VmId } from "@poplarthread/ids";
import type { TargetEntry, VmEntry } from "./event.ts";

/** Every VM gets at least this share of the mean, so that a VM that is idle now
 * can serve its next requests. */
const MIN_WEIGHT_SHARE = 0.25;

/** A VM's slot count changes only if it differs from its demand by more than
 * this share: each move lowers one VM and raises another, and demand over one
 * second is noisy (8 slots: ±3). */
const HYSTERESIS_SHARE = 0.3;

/** Largest share of a region's slots that one plan moves between VMs. A moved
 * slot idles until its previous VM has confirmed and the next plan is out, 1.5
 * s: with a third of the slots moved at once, draining a zone caused refusals
 * at 40 % load. */
const MAX_MOVED_SHARE = 0.1;

/** Input of the distribution. */
export interface SlotDemand {
  readonly service: ServiceId;
  readonly region: RegionId;
  /** Targets that take new work. */
  readonly targets: readonly TargetEntry[];
  readonly slotsPerTarget: number;
  /** Number of slots to distribute. */
  readonly total: number;
  /** VMs that may own slots of these targets. */
  readonly vms: readonly VmEntry[];
  /** Demand of each VM in slots; absent where no recent measurement exists. */
  readonly demand: ReadonlyMap<VmId, number>;
  /** Slots that each VM now owns of each target. */
  readonly owned: ReadonlyMap<TargetId, ReadonlyMap<VmId, number>>;
}

/** Desired slots, by target and VM. */
export type DesiredSlots = Map<TargetId, Map<VmId, number>>;

/** Distributes the slots of a service in a region. */
export function desiredSlots(input: SlotDemand): DesiredSlots {
  const counts = desiredCounts(input);
  const wanted: DesiredSlots = new Map();
  const free = new Map<TargetId, number>();
  for (const { target } of input.targets) {
    wanted.set(target, new Map());
    free.set(target, input.slotsPerTarget);
  }
  const assign = (vm: VmId, target: TargetId, slots: number): number => {
    const count = Math.min(slots, free.get(target)!, counts.get(vm) ?? 0);
    if (count <= 0) return 0;
    const row = wanted.get(target)!;
    row.set(vm, (row.get(vm) ?? 0) + count);
    free.set(target, free.get(target)! - count);
    counts.set(vm, counts.get(vm)! - count);
    return count;
  };
  keepOwned(input, assign);
  assignRotating(input, { counts, assign, sameZone: true });
  assignRotating(input, { counts, assign, sameZone: false });
  return wanted;
}

/** Number of slots for each VM, by demand. */
function desiredCounts(input: SlotDemand): Map<VmId, number> {
  const held = currentCounts(input);
  const weights = new Map<VmId, number>();
  for (const { vm } of input.vms) {
    weights.set(vm, input.demand.get(vm) ?? held.get(vm) ?? 1);
  }
  const sum = [...weights.values()].reduce((a, b) => a + b, 0);
  const min = MIN_WEIGHT_SHARE * Math.max(1, sum) /
    Math.max(1, weights.size);
  for (const [vm, weight] of weights) weights.set(vm, Math.max(min, weight));
  const ideal = largestRemainder(weights, input.total);
  return stepTowards(held, ideal, input.total);
}

/** Counts one step closer to the ideal ones: unowned slots are assigned, and a
 * few are moved from VMs that are far above their ideal count. */
function stepTowards(
  held: ReadonlyMap<VmId, number>,
  ideal: ReadonlyMap<VmId, number>,
  total: number,
): Map<VmId, number> {
  const counts = new Map<VmId, number>();
  let unowned = total;
  for (const vm of ideal.keys()) {
    const slots = held.get(vm) ?? 0;
    counts.set(vm, slots);
    unowned -= slots;
  }
  const maxMoves = Math.max(1, Math.floor(MAX_MOVED_SHARE * total));
  for (let i = 0; i < maxMoves && unowned <= 0; i++) {
    const [from, excess] = furthestFromIdeal(counts, ideal, 1);
    const isFar =
      excess > Math.max(1, HYSTERESIS_SHARE * (ideal.get(from!) ?? 0));
    // A VM without any slot can't serve its own requests until it gets one.
    const anyEmpty = [...counts].some(([vm, slots]) =>
      slots === 0 && ideal.get(vm)! > 0
    );
    if (from === undefined || (unowned === 0 && !isFar && !anyEmpty)) break;
    counts.set(from, counts.get(from)! - 1);
    unowned++;
    if (unowned > 0) unowned -= addOne(counts, ideal);
  }
  while (unowned > 0 && counts.size > 0) unowned -= addOne(counts, ideal);
  return counts;
}

function addOne(
  counts: Map<VmId, number>,
  ideal: ReadonlyMap<VmId, number>,
): number {
  const [to] = furthestFromIdeal(counts, ideal, -1);
  counts.set(to!, counts.get(to!)! + 1);
  return 1;
}

/** The VM furthest above its ideal count (sign 1) or below it (sign -1). */
function furthestFromIdeal(
  counts: ReadonlyMap<VmId, number>,
  ideal: ReadonlyMap<VmId, number>,
  sign: 1 | -1,
): [VmId | undefined, number] {
  let best: VmId | undefined;
  let largest = Number.NEGATIVE_INFINITY;
  for (const [vm, slots] of counts) {
    const difference = sign * (slots - ideal.get(vm)!);
    if (difference <= largest) continue;
    best = vm;
    largest = difference;
  }
  return [best, largest];
}

function currentCounts(input: SlotDemand): Map<VmId, number> {
  const held = new Map<VmId, number>();
  const known = new Set(input.vms.map(({ vm }) => vm));
  for (const { target } of input.targets) {
    for (const [vm, slots] of input.owned.get(target) ?? []) {
      if (known.has(vm)) held.set(vm, (held.get(vm) ?? 0) + slots);
    }
  }
  return held;
}

/** Distributes `total` in proportion to the weights; the largest fractions get
 * the remainder. */
export function largestRemainder<Key>(
  weights: ReadonlyMap<Key, number>,
  total: number,
): Map<Key, number> {
  const sum = [...weights.values()].reduce((a, b) => a + b, 0);
  const counts = new Map<Key, number>();
  if (sum <= 0) return counts;
  const fractions: { key: Key; fraction: number }[] = [];
  let left = total;
  for (const [key, weight] of weights) {
    const quota = total * weight / sum;
    const floor = Math.floor(quota);
    counts.set(key, floor);
    left -= floor;
    fractions.push({ key, fraction: quota - floor });
  }
  fractions.sort((a, b) => b.fraction - a.fraction);
  for (const { key } of fractions.slice(0, left)) {
    counts.set(key, counts.get(key)! + 1);
  }
  return counts;
}

type Assign = (vm: VmId, target: TargetId, slots: number) => number;

/** Keeps the slots that a VM already owns, up to its count: each move lowers
 * one VM and raises another. */
function keepOwned(input: SlotDemand, assign: Assign): void {
  for (const { target } of input.targets) {
    for (const [vm, slots] of input.owned.get(target) ?? []) {
      assign(vm, target, slots);
    }
  }
}

/** Assigns one slot at a time to each VM in rotation, so that a VM's slots are
 * spread over many targets and no target is used by a single VM only. */
function assignRotating(
  input: SlotDemand,
  ctx: { counts: Map<VmId, number>; assign: Assign; sameZone: boolean },
): void {
  let rotation = 0;
  for (let hasAssigned = true; hasAssigned;) {
    hasAssigned = false;
    for (const { vm, zone } of input.vms) {
      if ((ctx.counts.get(vm) ?? 0) === 0) continue;
      rotation++;
      const { targets } = input;
      for (let i = 0; i < targets.length; i++) {
        const entry = targets[(rotation + i) % targets.length]!;
        if (ctx.sameZone && entry.zone !== zone) continue;
        if (ctx.assign(vm, entry.target, 1) === 0) continue;
        hasAssigned = true;
        break;
      }
    }
  }
}
