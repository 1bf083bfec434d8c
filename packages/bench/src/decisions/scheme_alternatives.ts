/**
 * Other ways to share few slots between many VMs, kept for comparison.
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

/** Targets asked for their load before each request. */
const PROBES = 2;

/** Asks two targets for their requests in flight, then sends to the better. */
export class ProbeScheme implements Scheme {
  readonly #world: World;
  readonly #rng: RandomGenerator;

  constructor(world: World, seed: number) {
    this.#world = world;
    this.#rng = xoroshiro128plus(seed);
  }

  arrive(req: BenchRequest, vm: VmEntry): void {
    const targets = localTargets(this.#world, req, vm);
    const answers: { target: FakeTarget; load: number }[] = [];
    for (let i = 0; i < PROBES; i++) {
      const target = targets[uniformInt(this.#rng, 0, targets.length - 1)]!;
      const wayMs = delayMs(this.#world.deployment, vm, target.entry);
      this.#world.metrics.messages += 2;
      this.#world.loop.after(wayMs, () => {
        const { load } = target;
        this.#world.loop.after(wayMs, () => {
          answers.push({ target, load });
          if (answers.length === PROBES) this.#send(req, vm, answers);
        });
      });
    }
  }

  #send(
    req: BenchRequest,
    vm: VmEntry,
    answers: { target: FakeTarget; load: number }[],
  ): void {
    answers.sort((a, b) => a.load - b.load);
    this.#world.send(req, vm, {
      target: answers[0]!.target.entry.target,
      done: (outcome) =>
        this.#world.answer(
          req,
          outcome === "answered" ? { kind: "served" } : { kind: "unknown" },
        ),
    });
  }
}

/** Every target is one VM's alone, chosen by hash among the VMs of its region.
 * A change for plans, to be used with or without lending. */
export function ownedByHash(plan: Plan, vms: readonly VmEntry[]): Plan {
  const sums = new Map<TargetId, number>();
  for (const { target, slots } of plan.allotments) {
    sums.set(target, (sums.get(target) ?? 0) + slots);
  }
  const seen = new Set<TargetId>();
  const allotments = plan.allotments.flatMap((row) => {
    if (seen.has(row.target)) return [];
    seen.add(row.target);
    const local = vms.filter(({ region }) => region === row.region);
    const owner = local[hash(row.target) % local.length]!;
    const slots = sums.get(row.target)!;
    return [{ ...row, vm: owner.vm, slots, mayHold: slots }];
  });
  return { ...plan, allotments };
}

interface Forwarder {
  readonly entry: VmEntry;
  readonly slots: Map<FakeTarget, number>;
  free: number;
  readonly queue: { req: BenchRequest; via: VmEntry }[];
  /** Free slots less waiting requests of peers, as last heard. */
  readonly heard: Map<VmId, number>;
}

/** How often VMs tell each other what is free. */
const TELL_MS = 10;

/** Slots are owned as in a plan; a request that finds none free is sent on to
 * the peer that said to have most free, once. */
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
    for (const work of world.deployment.work) {
      for (const entry of vms) {
        const slots = new Map<FakeTarget, number>();
        for (const row of plan.allotments) {
          if (row.vm !== entry.vm || row.service !== work.service) continue;
          slots.set(world.targets.get(row.target)!, row.slots);
        }
        const free = [...slots.values()].reduce((a, b) => a + b, 0);
        this.#nodes.set(`${work.service} ${entry.vm}`, {
          entry,
          slots,
          free,
          queue: [],
          heard: new Map(),
        });
      }
    }
    this.#tell();
  }

  arrive(req: BenchRequest, vm: VmEntry): void {
    const node = this.#nodes.get(`${req.service} ${vm.vm}`)!;
    if (node.free > 0) return this.#serve(node, { req, via: vm });
    const peer = this.#bestPeer(req, node);
    if (peer === undefined) {
      node.queue.push({ req, via: vm });
      return;
    }
    node.heard.set(peer.entry.vm, node.heard.get(peer.entry.vm)! - 1);
    this.#world.message(vm, peer.entry, () => {
      if (peer.free > 0) this.#serve(peer, { req, via: vm });
      else peer.queue.push({ req, via: vm });
    });
  }

  #bestPeer(req: BenchRequest, node: Forwarder): Forwarder | undefined {
    let best: VmId | undefined;
    let most = -node.queue.length;
    for (const [vm, free] of node.heard) {
      if (free <= most) continue;
      best = vm;
      most = free;
    }
    return best && this.#nodes.get(`${req.service} ${best}`);
  }

  #serve(
    node: Forwarder,
    work: { req: BenchRequest; via: VmEntry },
  ): void {
    const [target] = [...node.slots].find(([, free]) => free > 0)!;
    node.slots.set(target, node.slots.get(target)! - 1);
    node.free--;
    const back = delayMs(this.#world.deployment, node.entry, work.via);
    this.#world.send(work.req, node.entry, {
      target: target.entry.target,
      done: () => {
        node.slots.set(target, node.slots.get(target)! + 1);
        node.free++;
        const wayBack = node.entry === work.via ? 0 : back;
        this.#world.loop.after(wayBack, () => {
          this.#world.answer(work.req, { kind: "served" });
        });
        const next = node.queue.shift();
        if (next !== undefined) this.#serve(node, next);
      },
    });
  }

  #tell(): void {
    for (const [key, node] of this.#nodes) {
      const service = key.split(" ")[0]!;
      const state = node.free > 0 ? node.free : -node.queue.length;
      for (const [otherKey, other] of this.#nodes) {
        if (other === node || !otherKey.startsWith(`${service} `)) continue;
        if (other.entry.region !== node.entry.region) continue;
        this.#world.message(node.entry, other.entry, () => {
          other.heard.set(node.entry.vm, state);
        });
      }
    }
    if (this.#world.loop.now > this.#world.countTo) return;
    this.#world.loop.after(TELL_MS, () => this.#tell());
  }
}
