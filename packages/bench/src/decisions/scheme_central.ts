/**
 * The limit: one queue in order of class and age that knows every slot the
 * instant it falls free, at no cost of messages. No real system can have it.
 *
 * It waits by the same bounds as ours. A region's slots serve its own callers
 * first; others' requests only where the wait exceeds the round trip.
 *
 * @module
 */

import type { VmEntry } from "@poplarthread/decisions";
import type { RegionId, ServiceId } from "@poplarthread/ids";
import { delayMs, meanMs, type ServiceWork } from "./deployment.ts";
import type { FakeTarget } from "./fake_target.ts";
import type { BenchRequest, Scheme, World } from "./world.ts";

interface Waiting {
  readonly req: BenchRequest;
  readonly vm: VmEntry;
  readonly rank: number;
  readonly since: number;
  readonly giveUpAt: number;
}

interface Site {
  readonly region: RegionId;
  readonly targets: FakeTarget[];
  readonly slots: number;
  readonly work: ServiceWork;
  /** Waiting requests by rank. */
  readonly queues: Waiting[][];
  waiting: number;
}

/** When a refused caller is told to come back. */
const RETRY_MS = 2_000;

/** The central queue. */
export class CentralScheme implements Scheme {
  readonly #world: World;
  readonly #sites = new Map<string, Site>();
  readonly #taken = new Map<FakeTarget, number>();

  constructor(world: World) {
    this.#world = world;
    for (const work of world.deployment.work) {
      for (const { id: region } of world.deployment.policy.regions) {
        this.#addSite(work, region);
      }
    }
  }

  arrive(req: BenchRequest, vm: VmEntry): void {
    const site = this.#site(req.service, vm.region);
    const cls = this.#world.deployment.policy.classes.find(({ id }) =>
      id === req.kind.class
    )!;
    const now = this.#world.loop.now;
    const left = req.sentAt + req.kind.deadlineMs - now - req.kind.meanMs;
    const longest = Math.min(cls.maxWaitMs, left);
    if (this.#waitMs(site, cls.rank) > longest) {
      this.#world.answer(req, { kind: "refused", retryAfterMs: RETRY_MS });
      return;
    }
    const queue = site.queues[cls.rank] ??= [];
    queue.push({
      req,
      vm,
      rank: cls.rank,
      since: now,
      giveUpAt: now + longest,
    });
    site.waiting++;
    this.#serve(req.service);
  }

  #addSite(work: ServiceWork, region: RegionId): void {
    const targets = [...this.#world.targets.values()].filter(({ entry }) =>
      entry.service === work.service && entry.region === region
    );
    for (const target of targets) {
      this.#taken.set(target, 0);
    }
    this.#sites.set(`${work.service} ${region}`, {
      region,
      targets,
      slots: targets.length * work.slotsPerTarget,
      work,
      queues: [],
      waiting: 0,
    });
  }

  #site(service: ServiceId, region: RegionId): Site {
    return this.#sites.get(`${service} ${region}`)!;
  }

  #waitMs(site: Site, rank: number): number {
    let ahead = 0;
    for (let r = 0; r <= rank; r++) ahead += site.queues[r]?.length ?? 0;
    return ahead * meanMs(site.work) / Math.max(1, this.#liveSlots(site));
  }

  #liveSlots(site: Site): number {
    return this.#world.isLost(site.region) ? 0 : site.slots;
  }

  #serve(service: ServiceId): void {
    for (const { id: region } of this.#world.deployment.policy.regions) {
      const site = this.#site(service, region);
      while (site.waiting > 0 && this.#serveOne(site));
    }
  }

  #serveOne(site: Site): boolean {
    const next = this.#head(site);
    if (next === undefined) return false;
    const target = this.#freeTarget(site, next.vm) ??
      this.#remoteTarget(site, next);
    if (target === undefined) return false;
    site.queues[next.rank]!.shift();
    site.waiting--;
    this.#dispatch(next, target);
    return true;
  }

  #head(site: Site): Waiting | undefined {
    for (const queue of site.queues) {
      while (queue !== undefined && queue.length > 0) {
        const head = queue[0]!;
        if (head.giveUpAt > this.#world.loop.now) return head;
        queue.shift();
        site.waiting--;
        this.#world.answer(head.req, {
          kind: "refused",
          retryAfterMs: RETRY_MS,
        });
      }
    }
    return undefined;
  }

  #freeTarget(site: Site, vm: VmEntry): FakeTarget | undefined {
    let best: FakeTarget | undefined;
    let bestMs = Number.POSITIVE_INFINITY;
    for (const target of site.targets) {
      const { dead, leaving, silent, slowness } = target.faults;
      if (dead || leaving || silent) continue;
      if (this.#taken.get(target)! >= target.slots) continue;
      const ms = delayMs(this.#world.deployment, vm, target.entry) +
        slowness * 1_000;
      if (ms >= bestMs) continue;
      best = target;
      bestMs = ms;
    }
    return best;
  }

  #remoteTarget(site: Site, next: Waiting): FakeTarget | undefined {
    const roundTrip = 2 * this.#world.deployment.regionMs;
    const wait = this.#waitMs(site, site.queues.length - 1);
    if (wait < roundTrip) return undefined;
    for (const other of this.#sites.values()) {
      if (other === site || other.work !== site.work) continue;
      if (other.waiting > 0 || this.#world.isLost(other.region)) continue;
      const target = this.#freeTarget(other, next.vm);
      if (target !== undefined) return target;
    }
    return undefined;
  }

  #dispatch(next: Waiting, target: FakeTarget): void {
    const { req, vm } = next;
    this.#taken.set(target, this.#taken.get(target)! + 1);
    this.#world.send(req, vm, {
      target: target.entry.target,
      atTarget: () => {
        this.#taken.set(target, this.#taken.get(target)! - 1);
        this.#serve(req.service);
      },
      done: (outcome) =>
        this.#world.answer(
          req,
          outcome === "answered" ? { kind: "served" } : { kind: "unknown" },
        ),
    });
  }
}
