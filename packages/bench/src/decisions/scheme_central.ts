/**
 * An ideal central queue, ordered by class and age, as an upper bound: it knows
 * every slot the instant it becomes free, without messages. No real system can.
 *
 * It limits waiting times as the steering scheme does. A region's slots serve
 * its own callers first, and requests of other regions only where their wait
 * exceeds the round trip.
 *
 * @module
 */

import type { VmEntry } from "@poplarthread/decisions";
import type { RegionId, ServiceId } from "@poplarthread/ids";
import { delayMs, meanMs, type ServiceWorkload } from "./deployment.ts";
import type { FakeTarget } from "./fake_target.ts";
import type { BenchRequest, Scheme, World } from "./world.ts";

interface QueuedRequest {
  readonly req: BenchRequest;
  readonly vm: VmEntry;
  readonly rank: number;
  readonly since: number;
  readonly expiresAt: number;
}

/** Slots and waiting requests of one service in one region. */
interface Pool {
  readonly region: RegionId;
  readonly targets: FakeTarget[];
  readonly slots: number;
  readonly workload: ServiceWorkload;
  /** Waiting requests by rank, oldest first. */
  readonly queues: QueuedRequest[][];
  waiting: number;
}

/** Retry-after time sent to refused callers. */
const RETRY_AFTER_MS = 2_000;

/** The ideal central queue. */
export class CentralScheme implements Scheme {
  readonly #world: World;
  readonly #pools = new Map<string, Pool>();
  readonly #inFlight = new Map<FakeTarget, number>();

  constructor(world: World) {
    this.#world = world;
    for (const workload of world.deployment.workloads) {
      for (const { id: region } of world.deployment.policy.regions) {
        this.#addPool(workload, region);
      }
    }
  }

  arrive(req: BenchRequest, vm: VmEntry): void {
    const pool = this.#pool(req.service, vm.region);
    const cls = this.#world.deployment.policy.classes.find(({ id }) =>
      id === req.kind.class
    )!;
    const now = this.#world.loop.now;
    const remainingMs = req.sentAt + req.kind.deadlineMs - now -
      req.kind.meanMs;
    const maxWaitMs = Math.min(cls.maxWaitMs, remainingMs);
    if (this.#waitMs(pool, cls.rank) > maxWaitMs) {
      this.#world.respond(req, {
        kind: "refused",
        retryAfterMs: RETRY_AFTER_MS,
      });
      return;
    }
    const queue = pool.queues[cls.rank] ??= [];
    queue.push({
      req,
      vm,
      rank: cls.rank,
      since: now,
      expiresAt: now + maxWaitMs,
    });
    pool.waiting++;
    this.#serve(req.service);
  }

  #addPool(workload: ServiceWorkload, region: RegionId): void {
    const targets = [...this.#world.targets.values()].filter(({ entry }) =>
      entry.service === workload.service && entry.region === region
    );
    for (const target of targets) {
      this.#inFlight.set(target, 0);
    }
    this.#pools.set(`${workload.service} ${region}`, {
      region,
      targets,
      slots: targets.length * workload.slotsPerTarget,
      workload,
      queues: [],
      waiting: 0,
    });
  }

  #pool(service: ServiceId, region: RegionId): Pool {
    return this.#pools.get(`${service} ${region}`)!;
  }

  /** Estimated wait behind all requests of this rank and more urgent ones. */
  #waitMs(pool: Pool, rank: number): number {
    let ahead = 0;
    for (let r = 0; r <= rank; r++) ahead += pool.queues[r]?.length ?? 0;
    return ahead * meanMs(pool.workload) / Math.max(1, this.#liveSlots(pool));
  }

  #liveSlots(pool: Pool): number {
    return this.#world.isLost(pool.region) ? 0 : pool.slots;
  }

  #serve(service: ServiceId): void {
    for (const { id: region } of this.#world.deployment.policy.regions) {
      const pool = this.#pool(service, region);
      while (pool.waiting > 0 && this.#serveOne(pool));
    }
  }

  #serveOne(pool: Pool): boolean {
    const next = this.#head(pool);
    if (next === undefined) return false;
    const target = this.#freeTarget(pool, next.vm) ??
      this.#remoteTarget(pool, next);
    if (target === undefined) return false;
    pool.queues[next.rank]!.shift();
    pool.waiting--;
    this.#dispatch(next, target);
    return true;
  }

  /** The next request to serve; refuses those that have waited too long. */
  #head(pool: Pool): QueuedRequest | undefined {
    for (const queue of pool.queues) {
      while (queue !== undefined && queue.length > 0) {
        const head = queue[0]!;
        if (head.expiresAt > this.#world.loop.now) return head;
        queue.shift();
        pool.waiting--;
        this.#world.respond(head.req, {
          kind: "refused",
          retryAfterMs: RETRY_AFTER_MS,
        });
      }
    }
    return undefined;
  }

  /** The target with a free slot that is least slowed down, then nearest. */
  #freeTarget(pool: Pool, vm: VmEntry): FakeTarget | undefined {
    let best: FakeTarget | undefined;
    let bestMs = Number.POSITIVE_INFINITY;
    for (const target of pool.targets) {
      const { dead, leaving, unresponsive, slowdown } = target.faults;
      if (dead || leaving || unresponsive) continue;
      if (this.#inFlight.get(target)! >= target.slots) continue;
      const costMs = delayMs(this.#world.deployment, vm, target.entry) +
        slowdown * 1_000;
      if (costMs >= bestMs) continue;
      best = target;
      bestMs = costMs;
    }
    return best;
  }

  /** A target in another region, if the wait here exceeds the round trip. */
  #remoteTarget(pool: Pool, next: QueuedRequest): FakeTarget | undefined {
    const roundTripMs = 2 * this.#world.deployment.crossRegionDelayMs;
    const waitMs = this.#waitMs(pool, pool.queues.length - 1);
    if (waitMs < roundTripMs) return undefined;
    for (const other of this.#pools.values()) {
      if (other === pool || other.workload !== pool.workload) continue;
      if (other.waiting > 0 || this.#world.isLost(other.region)) continue;
      const target = this.#freeTarget(other, next.vm);
      if (target !== undefined) return target;
    }
    return undefined;
  }

  #dispatch(next: QueuedRequest, target: FakeTarget): void {
    const { req, vm } = next;
    this.#inFlight.set(target, this.#inFlight.get(target)! + 1);
    this.#world.send(req, vm, {
      target: target.entry.target,
      onJobEnd: () => {
        this.#inFlight.set(target, this.#inFlight.get(target)! - 1);
        this.#serve(req.service);
      },
      done: (outcome) =>
        this.#world.respond(
          req,
          outcome === "answered" ? { kind: "served" } : { kind: "unknown" },
        ),
    });
  }
}
