/**
 * A target as it looks from outside: a few slots, a short queue, objects that it
 * keeps and handles faster, a slow start, and the faults that targets have.
 *
 * @module
 */

import type { LoadReport, PlacedTarget } from "@poplarthread/placement";
import type { EventLoop } from "../decisions/event_loop.ts";
import type { ScenarioService } from "./scenario.ts";

/** How a job ends at its target. */
export type JobEnd =
  | { readonly kind: "answered"; readonly failed: boolean; load: LoadReport }
  | { readonly kind: "refused"; load: LoadReport }
  | { readonly kind: "reset" };

/** One request at a target. */
export interface Job {
  /** What a target may keep; undefined where requests are all alike. */
  readonly object: string | undefined;
  readonly workMs: number;
  readonly warmGain: number;
  /** Called when it ends, unless it was cancelled. */
  done(end: JobEnd): void;
}

interface RunningJob {
  readonly job: Job;
  readonly endsAt: number;
}

/** What a target needs to know. */
export interface EmulatedTargetOptions {
  readonly placed: PlacedTarget;
  readonly service: ScenarioService;
  readonly loop: EventLoop;
  /** Draws whether a request fails, 0 up to 1. */
  chance(): number;
}

/** See the module's comment. Times are milliseconds. */
export class EmulatedTarget {
  readonly placed: PlacedTarget;
  readonly service: ScenarioService;
  isUp = true;
  isLeaving = false;
  /** Its entry is in the platform's list. */
  isListed = true;
  /** Counts its lives. */
  life = 1;
  coldUntil = 0;
  slowFactor = 1;
  failShare = 0;
  /** Requests that it ran, and those of them on objects that it kept. */
  ran = 0;
  ranWarm = 0;
  /** Time that requests waited here for a slot, in all. */
  waitedMs = 0;
  /** Seconds in which it got more requests than it bears while cold. */
  coldBreaches = 0;
  readonly #options: EmulatedTargetOptions;
  readonly #running = new Set<RunningJob>();
  #waiting: Job[] = [];
  readonly #cameAt = new WeakMap<Job, number>();
  /** Least recently used first. */
  readonly #kept = new Set<string>();
  #coldArrivals: number[] = [];

  constructor(options: EmulatedTargetOptions) {
    this.#options = options;
    this.placed = options.placed;
    this.service = options.service;
  }

  /** The load as it tells it. */
  get load(): LoadReport {
    return {
      running: this.#running.size,
      waiting: this.#waiting.length,
      slots: this.service.slots,
    };
  }

  /** How much longer it is slow after its start. */
  get coldMs(): number {
    return Math.max(0, this.coldUntil - this.#options.loop.now);
  }

  keeps(object: string | undefined): boolean {
    return object !== undefined && this.#kept.has(object);
  }

  /** When a job that comes now would begin to run. */
  get freeAt(): number {
    const { now } = this.#options.loop;
    const ends = [...this.#running].map(({ endsAt }) => endsAt);
    while (ends.length < this.service.slots) {
      ends.push(now);
    }
    for (const job of this.#waiting) {
      ends.sort((a, b) => a - b);
      ends[0]! += this.workMs(job);
    }
    return Math.min(...ends);
  }

  /** How long a job runs, begun now. */
  workMs({ object, workMs, warmGain }: Omit<Job, "done">): number {
    const cold = this.coldMs > 0 ? this.service.coldFactor : 1;
    const warm = this.keeps(object) ? 1 - warmGain : 1;
    return workMs * warm * cold * this.slowFactor;
  }

  take(job: Job): void {
    if (!this.isUp) {
      job.done({ kind: "reset" });
      return;
    }
    this.#countCold();
    this.#cameAt.set(job, this.#options.loop.now);
    if (this.#running.size < this.service.slots) {
      this.#run(job);
    } else if (this.#waiting.length < this.service.queue) {
      this.#waiting.push(job);
    } else {
      job.done({ kind: "refused", load: this.load });
    }
  }

  /** The sender has cut the connection of a job. */
  cancel(job: Job): void {
    this.#waiting = this.#waiting.filter((one) => one !== job);
    for (const running of this.#running) {
      if (running.job === job) {
        this.#running.delete(running);
        this.#next();
      }
    }
  }

  /** Ends without a word. */
  crash(): void {
    this.isUp = false;
    const open = [
      ...[...this.#running].map(({ job }) => job),
      ...this.#waiting,
    ];
    this.#running.clear();
    this.#waiting = [];
    this.#kept.clear();
    open.forEach((job) => job.done({ kind: "reset" }));
  }

  /** Starts, slow and empty. */
  start(): void {
    this.isUp = true;
    this.isListed = true;
    this.isLeaving = false;
    this.life += 1;
    this.coldUntil = this.#options.loop.now + this.service.coldMs;
  }

  #run(job: Job): void {
    const { loop } = this.#options;
    const workMs = this.workMs(job);
    this.ran += 1;
    this.ranWarm += this.keeps(job.object) ? 1 : 0;
    this.waitedMs += loop.now - (this.#cameAt.get(job) ?? loop.now);
    const running = { job, endsAt: loop.now + workMs };
    this.#running.add(running);
    loop.after(workMs, () => {
      if (this.#running.delete(running)) {
        this.#ended(job);
      }
    });
  }

  #ended(job: Job): void {
    const failed = this.#options.chance() < this.failShare;
    if (job.object !== undefined && !failed) {
      this.#keep(job.object);
    }
    this.#next();
    job.done({ kind: "answered", failed, load: this.load });
  }

  #next(): void {
    const job = this.#waiting.shift();
    if (job !== undefined) {
      this.#run(job);
    }
  }

  #keep(object: string): void {
    this.#kept.delete(object);
    this.#kept.add(object);
    if (this.#kept.size > this.service.keeps) {
      const [oldest] = this.#kept;
      this.#kept.delete(oldest!);
    }
  }

  #countCold(): void {
    const { now } = this.#options.loop;
    if (this.coldMs === 0) {
      return;
    }
    this.#coldArrivals = this.#coldArrivals.filter((at) => now - at < 1_000);
    this.#coldArrivals.push(now);
    const { coldPerSecond } = this.service;
    if (this.#coldArrivals.length > coldPerSecond * COLD_OVER + COLD_SLACK) {
      this.coldBreaches += 1;
      this.#coldArrivals = [];
    }
  }
}

/** Bound on requests to a cold target in one second: the users' `cold_over` and `cold_slack`. */
const COLD_OVER = 1.5;
const COLD_SLACK = 5;
