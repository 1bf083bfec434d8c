/**
 * Alternative schemes for sharing few slots between many VMs, for comparison.
 *
 * @module
 */

import { nextPlan, type Plan, type VmEntry } from "@poplarthread/decisions";
import type { TargetId, VmId } from "@poplarthread/ids";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { delayMs } from "./deployment.ts";
import type { FakeTarget } from "./fake_target.ts";
import { localTargets } from "./scheme_baselines.ts";
import { type BenchRequest, hash, type Scheme, type World } from "./world.ts";

/** Number of targets whose load is probed before each request. */
const PROBES = 2;

/** Probes two targets for their load, then sends to the less loaded one. */
export class ProbeScheme implements Scheme {
  readonly #world: World;
  readonly #rng: RandomGenerator;

  constructor(world: World, seed: number) {
    this.#world = world;
    this.#rng = xoroshiro128plus(seed);
  }

  arrive(req: BenchRequest, vm: VmEntry): void {
    const targets = localTargets(this.#world, req, vm);
    const probes: { target: FakeTarget; load: number }[] = [];
    for (let i = 0; i < PROBES; i++) {
      const target = targets[uniformInt(this.#rng, 0, targets.length - 1)]!;
      const oneWayMs = delayMs(this.#world.deployment, vm, target.entry);
      this.#world.metrics.messages += 2;
      this.#world.loop.after(oneWayMs, () => {
        const { load } = target;
        this.#world.loop.after(oneWayMs, () => {
          probes.push({ target, load });
          if (probes.length === PROBES) this.#send(req, vm, probes);
        });
      });
    }
  }

  #send(
    req: BenchRequest,
    vm: VmEntry,
    probes: { target: FakeTarget; load: number }[],
  ): void {
    probes.sort((a, b) => a.load - b.load);
    this.#world.send(req, vm, {
      target: probes[0]!.target.entry.target,
      done: (outcome) =>
        this.#world.respond(
          req,
          outcome === "answered" ? { kind: "served" } : { kind: "unknown" },
        ),
    });
  }
}

/** Rewrites a plan so that all slots of a target belong to one VM, chosen by
 * hash among the VMs of its region. Works with and without lending. */
export function assignOwnersByHash(plan: Plan, vms: readonly VmEntry[]): Plan {
  const totalSlots = new Map<TargetId, number>();
  for (const { target, slots } of plan.allotments) {
    totalSlots.set(target, (totalSlots.get(target) ?? 0) + slots);
  }
  const seen = new Set<TargetId>();
  const allotments = plan.allotments.flatMap((row) => {
    if (seen.has(row.target)) return [];
    seen.add(row.target);
    const local = vms.filter(({ region }) => region === row.region);
    const owner = local[hash(row.target) % local.length]!;
    const slots = totalSlots.get(row.target)!;
    return [{ ...row, vm: owner.vm, slots, mayHold: slots }];
  });
  return { ...plan, allotments };
}

/** State of one VM for one service. `via` is the entry VM of a request. */
interface Forwarder {
  readonly entry: VmEntry;
  readonly slots: Map<FakeTarget, number>;
  free: number;
  readonly queue: { req: BenchRequest; via: VmEntry }[];
  /** Last reported state of each peer: its free slots, or, if none is free, its
   * queue length negated. */
  readonly peerFree: Map<VmId, number>;
}

/** Interval at which VMs report their free slots to their peers. */
const STATE_INTERVAL_MS = 10;

/** Slots are allotted as in a plan. A request that finds no free slot is
 * forwarded, at most once, to the peer that reported the most free slots. */
export class ForwardScheme implements Scheme {
  readonly #world: World;
  readonly #nodes = new Map<string, Forwarder>();

  constructor(world: World) {
    this.#world = world;
    const { policy, vms, targets } = world.deployment;
    const plan = nextPlan({
      policy,
      revision: 1,
      vms,
      targets,
      demand: [],
      confirmations: [],
      stopped: new Set(),
      previousAgeMs: 0,
    });
    for (const workload of world.deployment.workloads) {
      for (const entry of vms) {
        const slots = new Map<FakeTarget, number>();
        for (const row of plan.allotments) {
          if (row.vm !== entry.vm || row.service !== workload.service) continue;
          slots.set(world.targets.get(row.target)!, row.slots);
        }
        const free = [...slots.values()].reduce((a, b) => a + b, 0);
        this.#nodes.set(`${workload.service} ${entry.vm}`, {
          entry,
          slots,
          free,
          queue: [],
          peerFree: new Map(),
        });
      }
    }
    this.#publishState();
  }

  arrive(req: BenchRequest, vm: VmEntry): void {
    const node = this.#nodes.get(`${req.service} ${vm.vm}`)!;
    if (node.free > 0) return this.#serve(node, { req, via: vm });
    const peer = this.#bestPeer(req, node);
    if (peer === undefined) {
      node.queue.push({ req, via: vm });
      return;
    }
    node.peerFree.set(peer.entry.vm, node.peerFree.get(peer.entry.vm)! - 1);
    this.#world.message(vm, peer.entry, () => {
      if (peer.free > 0) this.#serve(peer, { req, via: vm });
      else peer.queue.push({ req, via: vm });
    });
  }

  #bestPeer(req: BenchRequest, node: Forwarder): Forwarder | undefined {
    let bestPeer: VmId | undefined;
    let mostFree = -node.queue.length;
    for (const [vm, free] of node.peerFree) {
      if (free <= mostFree) continue;
      bestPeer = vm;
      mostFree = free;
    }
    return bestPeer && this.#nodes.get(`${req.service} ${bestPeer}`);
  }

  #serve(
    node: Forwarder,
    queued: { req: BenchRequest; via: VmEntry },
  ): void {
    const [target] = [...node.slots].find(([, free]) => free > 0)!;
    node.slots.set(target, node.slots.get(target)! - 1);
    node.free--;
    const returnMs = delayMs(this.#world.deployment, node.entry, queued.via);
    this.#world.send(queued.req, node.entry, {
      target: target.entry.target,
      done: () => {
        node.slots.set(target, node.slots.get(target)! + 1);
        node.free++;
        const responseDelayMs = node.entry === queued.via ? 0 : returnMs;
        this.#world.loop.after(responseDelayMs, () => {
          this.#world.respond(queued.req, { kind: "served" });
        });
        const next = node.queue.shift();
        if (next !== undefined) this.#serve(node, next);
      },
    });
  }

  #publishState(): void {
    for (const [key, node] of this.#nodes) {
      const service = key.split(" ")[0]!;
      const state = node.free > 0 ? node.free : -node.queue.length;
      for (const [otherKey, other] of this.#nodes) {
        if (other === node || !otherKey.startsWith(`${service} `)) continue;
        if (other.entry.region !== node.entry.region) continue;
        this.#world.message(node.entry, other.entry, () => {
          other.peerFree.set(node.entry.vm, state);
        });
      }
    }
    if (this.#world.loop.now > this.#world.countTo) return;
    this.#world.loop.after(STATE_INTERVAL_MS, () => this.#publishState());
  }
}
