/**
 * Simulated environment in which a scheme is measured: callers, network delays
 * and targets.
 *
 * @module
 */

import type { TargetEntry, VmEntry } from "@poplarthread/decisions";
import type { RegionId, ServiceId, TargetId } from "@poplarthread/ids";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import {
  CALLER_DELAY_MS,
  delayMs,
  type Deployment,
  type RequestKind,
  type ServiceWorkload,
} from "./deployment.ts";
import { EventLoop } from "./event_loop.ts";
import { FakeTarget, type Job, type JobOutcome } from "./fake_target.ts";
import { Metrics } from "./metrics.ts";

/** A simulated request. */
export interface BenchRequest {
  readonly id: number;
  readonly caller: string;
  readonly service: ServiceId;
  readonly kind: RequestKind;
  readonly serviceTimeMs: number;
  /** Time at which its caller first sent it. */
  readonly sentAt: number;
  readonly tag: string | undefined;
  readonly region: RegionId;
  /** One-way delay between its caller and the VM that it was last sent to. */
  callerDelayMs: number;
  /** Times that its caller has sent it. */
  tries: number;
  ended: boolean;
  /** Target of the most recent attempt. */
  target: TargetId | undefined;
}

/** Outcome of a request as its caller sees it. */
export type RequestOutcome =
  | { readonly kind: "served" }
  | { readonly kind: "refused"; readonly retryAfterMs: number }
  | { readonly kind: "unknown" };

/** A request-steering scheme under test. */
export interface Scheme {
  /** Handles a request that arrived at the entry VM `vm`. */
  arrive(req: BenchRequest, vm: VmEntry): void;
  /** Changes announced by operators and the platform; optional, since some
   * schemes ignore them. */
  targetsChanged?(targets: readonly TargetEntry[]): void;
  vmsChanged?(vms: readonly VmEntry[]): void;
  drainZone?(zone: string): void;
}

/** Handle of an attempt in flight. */
export interface AttemptHandle {
  cancel(): void;
}

/** What callers do when a request is refused. */
export type CallerRetryPolicy =
  /** Give up. */
  | "once"
  /** Retry after the given retry-after time, until the deadline or
   * {@link MAX_TRIES}. */
  | "polite"
  /** Retry after {@link STORM_RETRY_DELAY_MS}, ignoring retry-after. */
  | "storm";

/** Load that callers generate. */
export interface Load {
  /** Requests per millisecond at time `now` from a region to a service. */
  ratePerMs(workload: ServiceWorkload, region: RegionId, now: number): number;
  /** Picks the caller of the next request, and the tag it is counted under. */
  caller(
    rng: RandomGenerator,
    region: RegionId,
  ): { caller: string; tag?: string };
  readonly retryPolicy: CallerRetryPolicy;
  /** Draws the service time of a request of this kind at a target. */
  serviceTimeMs(rng: RandomGenerator, kind: RequestKind): number;
}

/** Retry delay of callers with the retry policy `storm`. */
const STORM_RETRY_DELAY_MS = 100;
/** Time for which a caller caches a look-up response. */
const LOOKUP_CACHE_TTL_MS = 10_000;
/** Maximum number of times that a caller sends one request. */
const MAX_TRIES = 10;

/** Simulated environment of one run. */
export class World {
  readonly loop = new EventLoop();
  readonly metrics = new Metrics();
  readonly targets = new Map<TargetId, FakeTarget>();
  vms: readonly VmEntry[];
  readonly deployment: Deployment;
  scheme: Scheme | undefined;
  /** Chooses a request's tag when it ends, instead of its caller's tag. */
  tagOf: ((req: BenchRequest) => string | undefined) | undefined;
  /** Requests first sent in [countFrom, countTo) are counted; goodput counts
   * requests whose outcome arrives in that period. */
  countFrom = 0;
  countTo = Number.POSITIVE_INFINITY;
  readonly #load: Load;
  readonly #arrivalRng: RandomGenerator;
  #nextId = 0;
  #regionLoad = new Map<string, number>();
  readonly #regionSlots = new Map<string, number>();
  readonly #lostRegions = new Set<RegionId>();

  constructor(
    deployment: Deployment,
    opts: { load: Load; seed: number },
  ) {
    this.deployment = deployment;
    this.vms = deployment.vms;
    this.#load = opts.load;
    this.#arrivalRng = xoroshiro128plus(opts.seed);
    for (const entry of deployment.targets) {
      const workload = deployment.workloads.find(({ service }) =>
        service === entry.service
      )!;
      const target = new FakeTarget(this.loop, entry, workload.slotsPerTarget);
      this.targets.set(entry.target, target);
      const key = `${entry.service} ${entry.region}`;
      const slots = this.#regionSlots.get(key) ?? 0;
      this.#regionSlots.set(key, slots + workload.slotsPerTarget);
    }
  }

  /** Starts generating requests. */
  start(workloads: readonly ServiceWorkload[]): void {
    for (const workload of workloads) {
      for (const { id: region } of this.deployment.policy.regions) {
        this.#nextArrival(workload, region);
      }
    }
  }

  /** Fails a region: its VMs, targets and network stop working. */
  loseRegion(region: RegionId): void {
    this.#lostRegions.add(region);
    for (const target of this.targets.values()) {
      if (target.entry.region === region) target.kill();
    }
  }

  isLost(region: RegionId): boolean {
    return this.#lostRegions.has(region);
  }

  /** Sends a request to a target; `done` runs when the VM gets the outcome. */
  send(
    req: BenchRequest,
    vm: VmEntry,
    ctx: {
      target: TargetId;
      done: (outcome: JobOutcome) => void;
      /** Called the instant the job ends at the target, without network delay:
       * for schemes with perfect knowledge. */
      onJobEnd?: () => void;
    },
  ): AttemptHandle {
    const target = this.targets.get(ctx.target)!;
    const oneWayMs = delayMs(this.deployment, vm, target.entry);
    this.metrics.attempts++;
    req.target = ctx.target;
    let cancelled = false;
    const job: Job = {
      serviceTimeMs: req.serviceTimeMs,
      state: "queued",
      done: (outcome) => {
        this.#addLoad(target, -1);
        ctx.onJobEnd?.();
        this.loop.after(oneWayMs, () => {
          if (!cancelled) ctx.done(outcome);
        });
      },
    };
    this.loop.after(oneWayMs, () => {
      this.#addLoad(target, 1);
      target.submit(job);
    });
    return {
      cancel: () => {
        cancelled = true;
        this.loop.after(oneWayMs, () => {
          if (job.state === "ended") return;
          this.#addLoad(target, -1);
          target.cancel(job);
        });
      },
    };
  }

  /** Sends a message between entry VMs; `run` runs at the receiver. */
  message(from: VmEntry, to: VmEntry, run: () => void): void {
    this.metrics.messages++;
    this.loop.after(delayMs(this.deployment, from, to), () => {
      if (!this.isLost(to.region) && !this.isLost(from.region)) run();
    });
  }

  /** Sends a request's outcome to its caller. */
  respond(req: BenchRequest, outcome: RequestOutcome): void {
    if (req.ended) return;
    this.loop.after(req.callerDelayMs, () => this.#onOutcome(req, outcome));
  }

  #onOutcome(req: BenchRequest, outcome: RequestOutcome): void {
    if (req.ended) return;
    const latencyMs = this.loop.now - req.sentAt;
    const isLate = latencyMs > req.kind.deadlineMs;
    if (outcome.kind === "refused" && this.#scheduleRetry(req, outcome)) return;
    req.ended = true;
    const isServed = outcome.kind === "served" && !isLate;
    if (isServed && this.#isCounted(this.loop.now)) {
      for (const tally of this.metrics.tallies(req.kind.class, req.tag)) {
        tally.goodput++;
      }
    }
    if (!this.#isCounted(req.sentAt)) return;
    const window = this.metrics.window(req.sentAt);
    if (isServed) {
      window.served++;
      window.latencies.push(latencyMs);
    } else window.refused++;
    const tag = this.tagOf?.(req) ?? req.tag;
    for (const tally of this.metrics.tallies(req.kind.class, tag)) {
      if (isServed) tally.record(latencyMs);
      else if (outcome.kind === "unknown") tally.unknown++;
      else tally.refused++;
    }
  }

  #scheduleRetry(
    req: BenchRequest,
    outcome: { retryAfterMs: number },
  ): boolean {
    const { retryPolicy } = this.#load;
    if (retryPolicy === "once" || req.tries >= MAX_TRIES) return false;
    const waitMs = retryPolicy === "storm"
      ? STORM_RETRY_DELAY_MS
      : outcome.retryAfterMs;
    if (this.loop.now + waitMs - req.sentAt > req.kind.deadlineMs) return false;
    this.loop.after(waitMs, () => this.#submit(req));
    return true;
  }

  #nextArrival(workload: ServiceWorkload, region: RegionId): void {
    if (this.loop.now >= this.countTo) return;
    const ratePerMs = this.#load.ratePerMs(workload, region, this.loop.now);
    if (ratePerMs <= 0) {
      this.loop.after(10, () => this.#nextArrival(workload, region));
      return;
    }
    const interArrivalMs = -Math.log(1 - uniformFloat64(this.#arrivalRng)) /
      ratePerMs;
    this.loop.after(interArrivalMs, () => {
      this.#arrive(workload, region);
      this.#nextArrival(workload, region);
    });
  }

  #arrive(workload: ServiceWorkload, region: RegionId): void {
    const rng = this.#arrivalRng;
    const kind = pickKind(workload, uniformFloat64(rng));
    const { caller, tag } = this.#load.caller(rng, region);
    const req: BenchRequest = {
      id: this.#nextId++,
      caller,
      service: workload.service,
      kind,
      serviceTimeMs: this.#load.serviceTimeMs(rng, kind),
      sentAt: this.loop.now,
      tag,
      region,
      callerDelayMs: CALLER_DELAY_MS,
      tries: 0,
      ended: false,
      target: undefined,
    };
    if (this.#isCounted(req.sentAt)) {
      this.metrics.window(req.sentAt).offered++;
      for (const tally of this.metrics.tallies(kind.class, tag)) {
        tally.offered++;
      }
    }
    this.#submit(req);
  }

  #submit(req: BenchRequest): void {
    const vm = this.#lookUp(req);
    if (vm === undefined) return;
    req.tries++;
    const crossRegionMs = vm.region === req.region
      ? 0
      : this.deployment.crossRegionDelayMs;
    req.callerDelayMs = CALLER_DELAY_MS + crossRegionMs;
    this.loop.after(req.callerDelayMs, () => {
      if (this.isLost(vm.region)) return;
      this.scheme!.arrive(req, vm);
    });
  }

  /** The first VM of the caller's cached look-up response. */
  #lookUp(req: BenchRequest): VmEntry | undefined {
    const live = this.vms.filter((vm) => vm.live && !this.isLost(vm.region));
    const sameRegion = live.filter((vm) => vm.region === req.region);
    const vms = sameRegion.length > 0 ? sameRegion : live;
    const cachePeriod = Math.floor(this.loop.now / LOOKUP_CACHE_TTL_MS);
    return vms[hash(`${req.caller} ${cachePeriod}`) % vms.length];
  }

  #isCounted(time: number): boolean {
    return time >= this.countFrom && time < this.countTo;
  }

  #addLoad(target: FakeTarget, delta: number): void {
    const key = `${target.entry.service} ${target.entry.region}`;
    const load = (this.#regionLoad.get(key) ?? 0) + delta;
    this.#regionLoad.set(key, load);
    const over = load - this.#regionSlots.get(key)!;
    if (over > this.metrics.maxOverRegion) this.metrics.maxOverRegion = over;
  }
}

function pickKind(workload: ServiceWorkload, fraction: number): RequestKind {
  let sum = 0;
  for (const kind of workload.kinds) {
    sum += kind.share;
    if (fraction < sum) return kind;
  }
  return workload.kinds.at(-1)!;
}

/** FNV-1a with a final mix; any evenly distributed hash would do. */
export function hash(text: string): number {
  let h = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) {
    h = Math.imul(h ^ text.charCodeAt(i), 0x01000193);
  }
  h ^= h >>> 15;
  h = Math.imul(h, 0x2c1b3c6d);
  return (h ^ (h >>> 13)) >>> 0;
}
