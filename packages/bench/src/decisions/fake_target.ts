/**
 * A small fake target: slots, a queue before them, and the faults that targets
 * have.
 *
 * @module
 */

import type { TargetEntry } from "@poplarthread/decisions";
import type { EventLoop } from "./event_loop.ts";

/** One piece of work at a target. */
export interface Job {
  readonly workMs: number;
  /** Called when it is done, at the target's end of the line. */
  readonly done: (outcome: JobOutcome) => void;
  state: "queued" | "running" | "ended";
}

/** How a job ends at the target. */
export type JobOutcome = "answered" | "leaving" | "reset";

/** Faults and states that a pattern can set. */
export interface TargetFaults {
  /** Times as long for everything. */
  slowness: number;
  /** Takes requests and never answers. */
  silent: boolean;
  /** Its process is gone: connections are reset. */
  dead: boolean;
  /** Refuses new work as leaving. */
  leaving: boolean;
  /** Jobs still to be done with a cold cache, at twice the time. */
  coldJobs: number;
}

/** Time against the usual while caches are cold. */
const COLD_SLOWNESS = 2;

/** A target that works on `slots` jobs at once and queues what is above. */
export class FakeTarget {
  readonly faults: TargetFaults = {
    slowness: 1,
    silent: false,
    dead: false,
    leaving: false,
    coldJobs: 0,
  };
  running = 0;
  /** Most jobs above its slots at one time. */
  mostOver = 0;
  /** Jobs that came after it began to refuse. */
  lateJobs = 0;
  readonly entry: TargetEntry;
  readonly slots: number;
  readonly #loop: EventLoop;
  #queue: Job[] = [];
  #all = new Set<Job>();

  constructor(loop: EventLoop, entry: TargetEntry, slots: number) {
    this.#loop = loop;
    this.entry = entry;
    this.slots = slots;
  }

  /** Jobs here, running or queued. */
  get load(): number {
    return this.running + this.#queue.length;
  }

  /** A job comes in. */
  take(job: Job): void {
    if (this.faults.dead) return this.#end(job, "reset");
    if (this.faults.leaving) {
      this.lateJobs++;
      return this.#end(job, "leaving");
    }
    this.#all.add(job);
    this.mostOver = Math.max(this.mostOver, this.load + 1 - this.slots);
    if (this.running < this.slots) this.#run(job);
    else this.#queue.push(job);
  }

  /** The caller's side closed the connection. */
  cancel(job: Job): void {
    if (job.state === "ended") return;
    const wasRunning = job.state === "running";
    job.state = "ended";
    this.#all.delete(job);
    if (wasRunning) this.#next();
    else this.#queue = this.#queue.filter((other) => other !== job);
  }

  /** The process dies: every connection is reset. */
  kill(): void {
    this.faults.dead = true;
    this.#queue = [];
    this.running = 0;
    for (const job of this.#all) this.#end(job, "reset");
    this.#all.clear();
  }

  /** A new process, with a cold cache. */
  revive(coldJobs: number): void {
    this.faults.dead = false;
    this.faults.coldJobs = coldJobs;
  }

  #run(job: Job): void {
    job.state = "running";
    this.running++;
    if (this.faults.silent) return;
    const cold = this.faults.coldJobs > 0;
    if (cold) this.faults.coldJobs--;
    const slowness = this.faults.slowness * (cold ? COLD_SLOWNESS : 1);
    this.#loop.after(job.workMs * slowness, () => {
      if (job.state !== "running") return;
      this.#all.delete(job);
      job.state = "ended";
      this.#next();
      this.#end(job, "answered");
    });
  }

  #next(): void {
    this.running--;
    const job = this.#queue.shift();
    if (job !== undefined) this.#run(job);
  }

  #end(job: Job, outcome: JobOutcome): void {
    job.state = "ended";
    job.done(outcome);
  }
}
