/**
 * The small world that a scheme is measured in: callers, delays, targets.
 *
 * @module
 */

import type { TargetEntry, VmEntry } from "@poplarthread/decisions";
import type { RegionId, ServiceId, TargetId } from "@poplarthread/ids";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import {
  CALLER_MS,
  delayMs,
  type Deployment,
  type ServiceWork,
  type WorkKind,
} from "./deployment.ts";
import { EventLoop } from "./event_loop.ts";
import { FakeTarget, type Job, type JobOutcome } from "./fake_target.ts";
import { Metrics } from "./metrics.ts";

/** One request in the world. */
export interface BenchRequest {
  readonly id: number;
  readonly caller: string;
  readonly service: ServiceId;
  readonly kind: WorkKind;
  readonly workMs: number;
  /** When its caller sent it first. */
  readonly sentAt: number;
  readonly tag: string | undefined;
  readonly region: RegionId;
  /** One-way delay between its caller and the VM it was sent to. */
  callerMs: number;
  tries: number;
  ended: boolean;
  /** Target of its last attempt. */
  target: TargetId | undefined;
}

/** How a request ends for its caller. */
export type Answer =
  | { readonly kind: "served" }
  | { readonly kind: "refused"; readonly retryAfterMs: number }
  | { readonly kind: "unknown" };

/** One way of steering, measured in a world. */
export interface Scheme {
  /** A request came to an entry VM. */
  arrive(req: BenchRequest, vm: VmEntry): void;
  /** What operators and the platform say, where the scheme listens. */
  targetsChanged?(targets: readonly TargetEntry[]): void;
  vmsChanged?(vms: readonly VmEntry[]): void;
  drainZone?(zone: string): void;
}

/** A running attempt. */
export interface Sending {
  cancel(): void;
}

/** How callers behave when refused. */
export type CallerManners =
  /** They give up. */
  | "once"
  /** They come back when told, as often as their deadline allows. */
  | "polite"
  /** They come back after 100 ms, whatever they were told. */
  | "storm";

/** What is sent, and how. */
export interface Load {
  /** Requests a millisecond at time `now`, for a service from a region. */
  rate(work: ServiceWork, region: RegionId, now: number): number;
  /** The caller of the next request, and its tag. */
  caller(
    rng: RandomGenerator,
    region: RegionId,
  ): { caller: string; tag?: string };
  readonly manners: CallerManners;
  /** Time at a target of a kind, in ms. */
  workMs(rng: RandomGenerator, kind: WorkKind): number;
}

/** When a storming caller comes back. */
const STORM_MS = 100;
/** How long a caller keeps a look-up's answer. */
const LOOKUP_MS = 10_000;
/** Longest that callers keep trying. */
const MOST_TRIES = 10;

/** World of one run. */
export class World {
  readonly loop = new EventLoop();
  readonly metrics = new Metrics();
  readonly targets = new Map<TargetId, FakeTarget>();
  vms: readonly VmEntry[];
  readonly deployment: Deployment;
  scheme: Scheme | undefined;
  /** Tags a request at its end, in place of its caller's tag. */
  tagOf: ((req: BenchRequest) => string | undefined) | undefined;
  /** Requests first sent within these times are counted. */
  countFrom = 0;
  countTo = Number.POSITIVE_INFINITY;
  readonly #load: Load;
  readonly #arrivals: RandomGenerator;
  #ids = 0;
  #regionLoad = new Map<string, number>();
  readonly #regionSlots = new Map<string, number>();
  readonly #lost = new Set<RegionId>();

  constructor(
    deployment: Deployment,
    opts: { load: Load; seed: number },
  ) {
    this.deployment = deployment;
    this.vms = deployment.vms;
    this.#load = opts.load;
    this.#arrivals = xoroshiro128plus(opts.seed);
    for (const entry of deployment.targets) {
      const work = deployment.work.find(({ service }) =>
        service === entry.service
      )!;
      const target = new FakeTarget(this.loop, entry, work.slotsPerTarget);
      this.targets.set(entry.target, target);
      const key = `${entry.service} ${entry.region}`;
      const slots = this.#regionSlots.get(key) ?? 0;
      this.#regionSlots.set(key, slots + work.slotsPerTarget);
    }
  }

  /** Starts the callers. */
  start(services: readonly ServiceWork[]): void {
    for (const work of services) {
      for (const { id: region } of this.deployment.policy.regions) {
        this.#nextArrival(work, region);
      }
    }
  }

  /** Region whose VMs, targets and network are gone. */
  loseRegion(region: RegionId): void {
    this.#lost.add(region);
    for (const target of this.targets.values()) {
      if (target.entry.region === region) target.kill();
    }
  }

  isLost(region: RegionId): boolean {
    return this.#lost.has(region);
  }

  /** Sends a request to a target; `done` is called back at the VM. */
  send(
    req: BenchRequest,
    vm: VmEntry,
    ctx: {
      target: TargetId;
      done: (outcome: JobOutcome) => void;
      /** Called at the target the instant it is done, for who knows all. */
      atTarget?: () => void;
    },
  ): Sending {
    const target = this.targets.get(ctx.target)!;
    const wayMs = delayMs(this.deployment, vm, target.entry);
    this.metrics.attempts++;
    req.target = ctx.target;
    let cancelled = false;
    const job: Job = {
      workMs: req.workMs,
      state: "queued",
      done: (outcome) => {
        this.#count(target, -1);
        ctx.atTarget?.();
        this.loop.after(wayMs, () => {
          if (!cancelled) ctx.done(outcome);
        });
      },
    };
    this.loop.after(wayMs, () => {
      this.#count(target, 1);
      target.take(job);
    });
    return {
      cancel: () => {
        cancelled = true;
        this.loop.after(wayMs, () => {
          if (job.state === "ended") return;
          this.#count(target, -1);
          target.cancel(job);
        });
      },
    };
  }

  /** A message between entry VMs. */
  message(from: VmEntry, to: VmEntry, run: () => void): void {
    this.metrics.messages++;
    this.loop.after(delayMs(this.deployment, from, to), () => {
      if (!this.isLost(to.region) && !this.isLost(from.region)) run();
    });
  }

  /** Gives a request its final answer. */
  answer(req: BenchRequest, answer: Answer): void {
    if (req.ended) return;
    this.loop.after(req.callerMs, () => this.#answered(req, answer));
  }

  #answered(req: BenchRequest, answer: Answer): void {
    if (req.ended) return;
    const took = this.loop.now - req.sentAt;
    const isLate = took > req.kind.deadlineMs;
    if (answer.kind === "refused" && this.#comesBack(req, answer)) return;
    req.ended = true;
    const isServed = answer.kind === "served" && !isLate;
    if (isServed && this.#isCounted(this.loop.now)) {
      for (const tally of this.metrics.tallies(req.kind.class, req.tag)) {
        tally.goodput++;
      }
    }
    if (!this.#isCounted(req.sentAt)) return;
    const window = this.metrics.window(req.sentAt);
    if (isServed) {
      window.served++;
      window.latencies.push(took);
    } else window.refused++;
    const tag = this.tagOf?.(req) ?? req.tag;
    for (const tally of this.metrics.tallies(req.kind.class, tag)) {
      if (isServed) tally.record(took);
      else if (answer.kind === "unknown") tally.unknown++;
      else tally.refused++;
    }
  }

  #comesBack(
    req: BenchRequest,
    answer: { retryAfterMs: number },
  ): boolean {
    const { manners } = this.#load;
    if (manners === "once" || req.tries >= MOST_TRIES) return false;
    const wait = manners === "storm" ? STORM_MS : answer.retryAfterMs;
    if (this.loop.now + wait - req.sentAt > req.kind.deadlineMs) return false;
    this.loop.after(wait, () => this.#submit(req));
    return true;
  }

  #nextArrival(work: ServiceWork, region: RegionId): void {
    if (this.loop.now >= this.countTo) return;
    const rate = this.#load.rate(work, region, this.loop.now);
    if (rate <= 0) {
      this.loop.after(10, () => this.#nextArrival(work, region));
      return;
    }
    const gap = -Math.log(1 - uniformFloat64(this.#arrivals)) / rate;
    this.loop.after(gap, () => {
      this.#arrive(work, region);
      this.#nextArrival(work, region);
    });
  }

  #arrive(work: ServiceWork, region: RegionId): void {
    const rng = this.#arrivals;
    const kind = pickKind(work, uniformFloat64(rng));
    const { caller, tag } = this.#load.caller(rng, region);
    const req: BenchRequest = {
      id: this.#ids++,
      caller,
      service: work.service,
      kind,
      workMs: this.#load.workMs(rng, kind),
      sentAt: this.loop.now,
      tag,
      region,
      callerMs: CALLER_MS,
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
    const away = vm.region === req.region ? 0 : this.deployment.regionMs;
    req.callerMs = CALLER_MS + away;
    this.loop.after(req.callerMs, () => {
      if (this.isLost(vm.region)) return;
      this.scheme!.arrive(req, vm);
    });
  }

  /** The VM that the caller's cached look-up names first. */
  #lookUp(req: BenchRequest): VmEntry | undefined {
    const live = this.vms.filter((vm) => vm.live && !this.isLost(vm.region));
    const near = live.filter((vm) => vm.region === req.region);
    const vms = near.length > 0 ? near : live;
    const period = Math.floor(this.loop.now / LOOKUP_MS);
    return vms[hash(`${req.caller} ${period}`) % vms.length];
  }

  #isCounted(at: number): boolean {
    return at >= this.countFrom && at < this.countTo;
  }

  #count(target: FakeTarget, by: number): void {
    const key = `${target.entry.service} ${target.entry.region}`;
    const load = (this.#regionLoad.get(key) ?? 0) + by;
    this.#regionLoad.set(key, load);
    const over = load - this.#regionSlots.get(key)!;
    if (over > this.metrics.mostOverRegion) this.metrics.mostOverRegion = over;
  }
}

function pickKind(work: ServiceWork, at: number): WorkKind {
  let sum = 0;
  for (const kind of work.kinds) {
    sum += kind.share;
    if (at < sum) return kind;
  }
  return work.kinds.at(-1)!;
}

/** FNV-1a with a final mix; any even spread would do. */
export function hash(text: string): number {
  let h = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) {
    h = Math.imul(h ^ text.charCodeAt(i), 0x01000193);
  }
  h ^= h >>> 15;
  h = Math.imul(h, 0x2c1b3c6d);
  return (h ^ (h >>> 13)) >>> 0;
}
