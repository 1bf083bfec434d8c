/**
 * Simulated fleets of VMs whose requests fail, for tests of the retries that all of
 * their processes send together.
 *
 * @module
 */

import { FleetRetryBudget, type RetryBound } from "./fleet_retry_budget.ts";
import { RetryUse } from "./retry_use.ts";
import { randomFrom } from "./testing_fleet.ts";

/** The size of a fleet, its load, and the retries that it may send. */
export interface RetryFleetSize {
  readonly vms: number;
  /** Callers' requests for the service, over all VMs. */
  readonly perSecond: number;
  readonly bound: RetryBound;
}

/** What happens to a fleet. Times are milliseconds of its clock. */
export type Disturbance =
  /** VMs restart, `batch` of them every `gapMs`. */
  | {
    readonly kind: "roll";
    readonly atMs: number;
    readonly batch: number;
    readonly gapMs: number;
  }
  /** A share of the VMs ends at one moment and starts again. */
  | {
    readonly kind: "kill";
    readonly atMs: number;
    readonly share: number;
    readonly downMs: number;
  }
  /** All callers are at one of `parts` parts of the VMs, and then at the next one. */
  | {
    readonly kind: "move";
    readonly atMs: number;
    readonly parts: number;
    readonly everyMs: number;
    readonly forMs: number;
  }
  /** A share of the VMs is cut off, so that callers use the others. */
  | {
    readonly kind: "cut";
    readonly atMs: number;
    readonly share: number;
    readonly forMs: number;
  }
  /** Callers send `x` times as many requests. */
  | {
    readonly kind: "burst";
    readonly atMs: number;
    readonly x: number;
    readonly forMs: number;
  }
  /** Targets have no room for retries, which are sent when it is over. */
  | { readonly kind: "stall"; readonly atMs: number; readonly forMs: number }
  /** VMs are paused, and read all requests when it is over. */
  | { readonly kind: "pause"; readonly atMs: number; readonly forMs: number };

/** One play of a fleet. */
export interface RetryPlay extends RetryFleetSize {
  readonly seed: number;
  readonly lengthMs: number;
  /** From when on requests fail and ask for a retry. */
  readonly failFromMs: number;
  /** Share of the requests that fail. */
  readonly failShare: number;
  readonly disturbances: readonly Disturbance[];
}

/** What a fleet sent. */
export interface RetryResult {
  readonly retries: number;
  /** The most retries of a window, as a multiple of those that it allows. */
  readonly worst: number;
}

/** Step of the fleet's clock; failed requests ask for their retries at its end. */
const STEP_MS = 20;
const SERVICE = "portal";

interface SimulatedVm {
  budget: FleetRetryBudget;
  downUntilMs: number;
  cutUntilMs: number;
}

/** Plays a fleet and counts what its processes send together. */
export function playRetries(play: RetryPlay): RetryResult {
  const fleet = new RetryFleet(play);
  fleet.run();
  return fleet.result();
}

class RetryFleet {
  readonly #play: RetryPlay;
  readonly #random: () => number;
  readonly #vms: SimulatedVm[];
  readonly #use = new RetryUse();
  #retries = 0;
  /** Budgets of the retries that wait to be sent. */
  #waiting: FleetRetryBudget[] = [];
  /** VMs to which a request was sent that is not read yet. */
  #unread: SimulatedVm[] = [];
  /** Requests that are due but not sent yet, less than one. */
  #due = 0;

  constructor(play: RetryPlay) {
    this.#play = play;
    this.#random = randomFrom(play.seed);
    this.#vms = Array.from({ length: play.vms }, () => ({
      budget: new FleetRetryBudget(play.bound),
      downUntilMs: 0,
      cutUntilMs: 0,
    }));
  }

  run(): void {
    for (let now = 0; now < this.#play.lengthMs; now += STEP_MS) {
      for (const disturbance of this.#play.disturbances) {
        this.#disturb(disturbance, now);
      }
      this.#sendRequests(now);
      this.#sendRetries(now);
    }
  }

  result(): RetryResult {
    return { retries: this.#retries, worst: this.#use.worst(this.#play.bound) };
  }

  #disturb(disturbance: Disturbance, now: number): void {
    const sinceMs = now - disturbance.atMs;
    switch (disturbance.kind) {
      case "roll": {
        const first = sinceMs / disturbance.gapMs * disturbance.batch;
        if (sinceMs >= 0 && Number.isInteger(first)) {
          this.#vms.slice(first, first + disturbance.batch)
            .forEach((vm) => this.#restart(vm, now));
        }
        return;
      }
      case "kill":
        if (sinceMs === 0) {
          this.#anyOf(disturbance.share).forEach((vm) => {
            vm.downUntilMs = now + disturbance.downMs;
            this.#restart(vm, vm.downUntilMs);
          });
        }
        return;
      case "cut":
        if (sinceMs === 0) {
          this.#anyOf(disturbance.share).forEach((vm) => {
            vm.cutUntilMs = now + disturbance.forMs;
          });
        }
        return;
      case "move":
      case "burst":
      case "stall":
      case "pause":
        return;
    }
  }

  #restart(vm: SimulatedVm, startedAt: number): void {
    vm.budget = new FleetRetryBudget(this.#play.bound, { startedAt });
  }

  #anyOf(share: number): readonly SimulatedVm[] {
    return this.#vms.filter(() => this.#random() < share);
  }

  #sendRequests(now: number): void {
    const open = this.#openVms(now);
    if (open.length === 0) {
      return;
    }
    this.#due += this.#play.perSecond * this.#loadAt(now) * STEP_MS / 1_000;
    for (; this.#due >= 1; this.#due--) {
      const vm = open[Math.floor(this.#random() * open.length)]!;
      this.#use.requested(SERVICE, now);
      this.#unread.push(vm);
    }
    if (!this.#isDuring("pause", now)) {
      this.#unread.forEach((vm) => this.#readRequest(vm, now));
      this.#unread = [];
    }
  }

  #readRequest({ budget }: SimulatedVm, now: number): void {
    budget.arrived(now);
    const { failFromMs, failShare, vms } = this.#play;
    const fails = now >= failFromMs && this.#random() < failShare;
    if (fails && budget.tryReserve(now, vms)) {
      this.#waiting.push(budget);
    }
  }

  #isDuring(kind: "stall" | "pause", now: number): boolean {
    return this.#play.disturbances.some((one) =>
      one.kind === kind && now >= one.atMs && now < one.atMs + one.forMs
    );
  }

  /** Sends the retries that wait, unless targets have no room or their process has ended. */
  #sendRetries(now: number): void {
    if (this.#isDuring("stall", now)) {
      return;
    }
    const running = new Set(this.#vms.map(({ budget }) => budget));
    for (const budget of this.#waiting) {
      if (running.has(budget) && budget.trySend(now, this.#play.vms)) {
        this.#use.retried(SERVICE, now);
        this.#retries += 1;
      }
    }
    this.#waiting = [];
  }

  /** The VMs that callers use. */
  #openVms(now: number): readonly SimulatedVm[] {
    const used = this.#partInUse(now);
    const open = used.filter(({ downUntilMs, cutUntilMs }) =>
      now >= Math.max(downUntilMs, cutUntilMs)
    );
    return open.length > 0
      ? open
      : this.#vms.filter(({ downUntilMs }) => now >= downUntilMs);
  }

  #partInUse(now: number): readonly SimulatedVm[] {
    const move = this.#play.disturbances.find((one) =>
      one.kind === "move" && now >= one.atMs && now < one.atMs + one.forMs
    );
    if (move?.kind !== "move") {
      return this.#vms;
    }
    const part = Math.floor((now - move.atMs) / move.everyMs) % move.parts;
    return this.#vms.filter((_, at) => at % move.parts === part);
  }

  #loadAt(now: number): number {
    return this.#play.disturbances.reduce(
      (load, one) =>
        one.kind === "burst" && now >= one.atMs && now < one.atMs + one.forMs
          ? load * one.x
          : load,
      1,
    );
  }
}
