/**
 * A simulated target: slots, a queue in front of them, and faults that can be
 * injected.
 *
 * @module
 */

import type { TargetEntry } from "@poplarthread/decisions";
import type { EventLoop } from "./event_loop.ts";

/** A request being handled by a target. */
export interface Job {
  readonly serviceTimeMs: number;
  /** Called at the target when the job ends, before any network delay. */
  readonly done: (outcome: JobOutcome) => void;
  state: "queued" | "running" | "ended";
}

/** Outcome of a job at the target. */
export type JobOutcome = "answered" | "leaving" | "reset";

/** Faults and states that a pattern can inject. */
export interface TargetFaults {
  /** Factor by which all service times are multiplied. */
  slowdown: number;
  /** Accepts requests and never responds. */
  unresponsive: boolean;
  /** The process has died: connections are reset. */
  dead: boolean;
  /** Refuses new requests because it is leaving. */
  leaving: boolean;
  /** Number of further jobs that run with a cold cache, at
   * {@link COLD_SLOWDOWN} times the service time. */
  coldJobs: number;
}

/** Factor on the service time while caches are cold. */
const COLD_SLOWDOWN = 2;

/** A target that runs up to `slots` jobs at once and queues the others. */
export class FakeTarget {
  readonly faults: TargetFaults = {
    slowdown: 1,
    unresponsive: false,
    dead: false,
    leaving: false,
    coldJobs: 0,
  };
  running = 0;
  /** Highest number of jobs beyond its slots seen at any time. */
  maxOverSlots = 0;
  /** Jobs refused because it was already leaving. */
  jobsWhileLeaving = 0;
  readonly entry: TargetEntry;
  readonly slots: number;
  readonly #loop: EventLoop;
  #queue: Job[] = [];
  #jobs = new Set<Job>();

  constructor(loop: EventLoop, entry: TargetEntry, slots: number) {
    this.#loop = loop;
    this.entry = entry;
    this.slots = slots;
  }

  /** Number of running and queued jobs. */
  get load(): number {
    return this.running + this.#queue.length;
  }

  /** Starts, queues or refuses a job. */
  submit(job: Job): void {
    if (this.faults.dead) return this.#end(job, "reset");
    if (this.faults.leaving) {
      this.jobsWhileLeaving++;
      return this.#end(job, "leaving");
    }
    this.#jobs.add(job);
    this.maxOverSlots = Math.max(this.maxOverSlots, this.load + 1 - this.slots);
    if (this.running < this.slots) this.#start(job);
    else this.#queue.push(job);
  }

  /** Cancels a job because the client closed the connection. */
  cancel(job: Job): void {
    if (job.state === "ended") return;
    const wasRunning = job.state === "running";
    job.state = "ended";
    this.#jobs.delete(job);
    if (wasRunning) this.#startNext();
    else this.#queue = this.#queue.filter((other) => other !== job);
  }

  /** Kills the process: every connection is reset. */
  kill(): void {
    this.faults.dead = true;
    this.#queue = [];
    this.running = 0;
    for (const job of this.#jobs) this.#end(job, "reset");
    this.#jobs.clear();
  }

  /** Starts a new process whose first `coldJobs` jobs find a cold cache. */
  restart(coldJobs: number): void {
    this.faults.dead = false;
    this.faults.coldJobs = coldJobs;
  }

  #start(job: Job): void {
    job.state = "running";
    this.running++;
    if (this.faults.unresponsive) return;
    const cold = this.faults.coldJobs > 0;
    if (cold) this.faults.coldJobs--;
    const slowdown = this.faults.slowdown * (cold ? COLD_SLOWDOWN : 1);
    this.#loop.after(job.serviceTimeMs * slowdown, () => {
      if (job.state !== "running") return;
      this.#jobs.delete(job);
      job.state = "ended";
      this.#startNext();
      this.#end(job, "answered");
    });
  }

  #startNext(): void {
    this.running--;
    const job = this.#queue.shift();
    if (job !== undefined) this.#start(job);
  }

  #end(job: Job, outcome: JobOutcome): void {
    job.state = "ended";
    job.done(outcome);
  }
}
