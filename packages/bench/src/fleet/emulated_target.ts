/**
 * Model of a target: a few slots, a short queue, a cache of objects whose requests
 * run faster, a cold start, and faults (slow, failing, crashed).
 *
 * @module
 */

import type { LoadReport, PlacedTarget } from "@poplarthread/placement";
import type { EventLoop } from "../decisions/event_loop.ts";
import { MachinePace } from "./machine_pace.ts";
import type { ScenarioService } from "./scenario.ts";

/** How a job ended at its target. */
export type JobResult =
  | { readonly kind: "answered"; readonly failed: boolean; load: LoadReport }
  | { readonly kind: "refused"; load: LoadReport }
  | { readonly kind: "reset" };

/** One request at a target. */
export interface Job {
  /** The object that the target may cache; undefined if the kind of request has no objects. */
  readonly object: string | undefined;
  readonly workMs: number;
  /** Share of the work that is saved if the object is cached. */
  readonly warmGain: number;
  /** Called when the job ends, unless it was cancelled. */
  done(result: JobResult): void;
}

interface RunningJob {
  readonly job: Job;
  readonly endsAt: number;
}

/** What an emulated target depends on. */
export interface EmulatedTargetOptions {
  readonly placed: PlacedTarget;
  readonly service: ScenarioService;
  readonly loop: EventLoop;
  /** A random number from 0 up to 1 (exclusive); decides whether a request fails. */
  random(): number;
}

/** An emulated target. Points in time are milliseconds of virtual time. */
export class EmulatedTarget {
  readonly placed: PlacedTarget;
  readonly service: ScenarioService;
  isUp = true;
  isLeaving = false;
  /** Whether the platform's list of targets has an entry for it. */
  isListed = true;
  /** Number of the process instance; rises with each start. */
  instance = 1;
  coldUntil = 0;
  slowFactor = 1;
  failureShare = 0;
  /** Share of the requests that it refuses whatever its load. */
  refusedShare = 0;
  /** Requests that were started in a slot. */
  handled = 0;
  /** Those of them whose object was cached. */
  handledWarm = 0;
  /** Sum of the time that requests waited for a slot. */
  totalWaitMs = 0;
  /** Number of times the bound on requests within one second to a cold target was exceeded. */
  coldBreaches = 0;
  readonly #options: EmulatedTargetOptions;
  readonly #machinePace: MachinePace | undefined;
  readonly #running = new Set<RunningJob>();
  #waiting: Job[] = [];
  readonly #arrivedAt = new WeakMap<Job, number>();
  /** Least recently used first. */
  readonly #cachedObjects = new Set<string>();
  #coldArrivals: number[] = [];

  constructor(options: EmulatedTargetOptions) {
    this.#options = options;
    this.placed = options.placed;
    this.service = options.service;
    const { pace } = options.service;
    this.#machinePace = pace && new MachinePace(options.placed.hash, pace);
  }

  /** The load that it reports in its responses. */
  get load(): LoadReport {
    const pace = this.#machinePace?.at(this.#options.loop.now);
    return {
      running: this.#running.size,
      waiting: this.#waiting.length,
      slots: this.service.slots,
      ...(pace === undefined ? {} : { pace }),
    };
  }

  /** Time left until it is no longer slow after its start. */
  get coldMs(): number {
    return Math.max(0, this.coldUntil - this.#options.loop.now);
  }

  isCached(object: string | undefined): boolean {
    return object !== undefined && this.#cachedObjects.has(object);
  }

  /** When a job submitted now would start to run. */
  get nextSlotAt(): number {
    const { now } = this.#options.loop;
    const ends = [...this.#running].map(({ endsAt }) => endsAt);
    while (ends.length < this.service.slots) {
      ends.push(now);
    }
    for (const job of this.#waiting) {
      ends.sort((a, b) => a - b);
      ends[0]! += this.durationMs(job);
    }
    return Math.min(...ends);
  }

  /** How long a job would run if it started now. */
  durationMs({ object, workMs, warmGain }: Omit<Job, "done">): number {
    const cold = this.coldMs > 0 ? this.service.coldFactor : 1;
    const warm = this.isCached(object) ? 1 - warmGain : 1;
    const ms = workMs * warm * cold * this.slowFactor;
    return this.#machinePace?.durationMs(ms, this.#options.loop.now) ?? ms;
  }

  submit(job: Job): void {
    if (!this.isUp) {
      job.done({ kind: "reset" });
      return;
    }
    if (this.refusedShare > 0 && this.#options.random() < this.refusedShare) {
      job.done({ kind: "refused", load: this.load });
      return;
    }
    this.#checkColdRate();
    this.#arrivedAt.set(job, this.#options.loop.now);
    if (this.#running.size < this.service.slots) {
      this.#run(job);
    } else if (this.#waiting.length < this.service.queue) {
      this.#waiting.push(job);
    } else {
      job.done({ kind: "refused", load: this.load });
    }
  }

  /** Removes a job whose sender closed the connection. */
  cancel(job: Job): void {
    this.#waiting = this.#waiting.filter((one) => one !== job);
    for (const running of this.#running) {
      if (running.job === job) {
        this.#running.delete(running);
        this.#runNext();
      }
    }
  }

  /** Stops without notice: all its jobs are reset and the cache is lost. */
  crash(): void {
    this.isUp = false;
    const open = [
      ...[...this.#running].map(({ job }) => job),
      ...this.#waiting,
    ];
    this.#running.clear();
    this.#waiting = [];
    this.#cachedObjects.clear();
    open.forEach((job) => job.done({ kind: "reset" }));
  }

  /** Starts a new instance: slow at first, with an empty cache. */
  start(): void {
    this.isUp = true;
    this.isListed = true;
    this.isLeaving = false;
    this.instance += 1;
    this.coldUntil = this.#options.loop.now + this.service.coldMs;
  }

  #run(job: Job): void {
    const { loop } = this.#options;
    const workMs = this.durationMs(job);
    this.handled += 1;
    this.handledWarm += this.isCached(job.object) ? 1 : 0;
    this.totalWaitMs += loop.now - (this.#arrivedAt.get(job) ?? loop.now);
    const running = { job, endsAt: loop.now + workMs };
    this.#running.add(running);
    loop.after(workMs, () => {
      if (this.#running.delete(running)) {
        this.#finish(job);
      }
    });
  }

  #finish(job: Job): void {
    const failed = this.#options.random() < this.failureShare;
    if (job.object !== undefined && !failed) {
      this.#cacheObject(job.object);
    }
    this.#runNext();
    job.done({ kind: "answered", failed, load: this.load });
  }

  #runNext(): void {
    const job = this.#waiting.shift();
    if (job !== undefined) {
      this.#run(job);
    }
  }

  #cacheObject(object: string): void {
    this.#cachedObjects.delete(object);
    this.#cachedObjects.add(object);
    if (this.#cachedObjects.size > this.service.keeps) {
      const [oldest] = this.#cachedObjects;
      this.#cachedObjects.delete(oldest!);
    }
  }

  #checkColdRate(): void {
    const { now } = this.#options.loop;
    if (this.coldMs === 0) {
      return;
    }
    this.#coldArrivals = this.#coldArrivals.filter((at) => now - at < 1_000);
    this.#coldArrivals.push(now);
    const { coldPerSecond } = this.service;
    if (
      this.#coldArrivals.length >
        coldPerSecond * COLD_OVER_FACTOR + COLD_SLACK_REQUESTS
    ) {
      this.coldBreaches += 1;
      this.#coldArrivals = [];
    }
  }
}

/**
 * Requests to a cold target within one second may reach its cold rate times
 * `COLD_OVER_FACTOR` plus `COLD_SLACK_REQUESTS`: the users' `cold_over` and `cold_slack`.
 */
const COLD_OVER_FACTOR = 1.5;
const COLD_SLACK_REQUESTS = 5;
