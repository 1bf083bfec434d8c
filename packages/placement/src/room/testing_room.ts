/**
 * Plays requests of several kinds and accounts on a few VMs and targets in virtual
 * time, for tests of what callers get while there isn't room for all.
 *
 * @module
 */

import type { AccountId, TargetId } from "@poplarthread/ids";
import { hashText } from "../hash.ts";
import type { HomeSource } from "../homes/home_source.ts";
import type { RoomShare } from "../homes/messages.ts";
import type { PlacementRequest } from "../placement.ts";
import { Steering } from "../steering.ts";
import type { SteeredTarget } from "../target.ts";
import { requestFor, SERVICE, targetsIn } from "../testing.ts";
import { randomFrom } from "../testing_fleet.ts";
import { WaitQueue } from "../wait_queue.ts";
import { RoomPlans } from "./room_plans.ts";

const STEP_MS = 5;
const PLAN_MS = 1_000;
const VMS = 6;
/** Number of targets. */
export const TARGETS = 10;
const SLOTS = 3;
const TARGET_QUEUE = 9;
const DEADLINE_MS = 4_000;
const OBJECTS = 120;
/** Return time of a request that targets refused. */
const MIN_RETURN_MS = 120;
/** Slots of all targets. */
export const CAPACITY_SLOTS = TARGETS * SLOTS;

/** A kind of request. */
export interface PlayedKind {
  readonly name: string;
  readonly priority: number;
  readonly runMs: number;
  readonly objectiveMs: number;
  /** Requests per second of all callers at a time. */
  perSecond(now: number): number;
  /** The account of a new request. */
  account?(random: () => number, now: number): string;
}

/** What is played. */
export interface Play {
  readonly kinds: readonly PlayedKind[];
  readonly untilMs: number;
  /** Share of its requests that a target refuses. */
  refusedShare?(now: number, target: TargetId): number;
  /** Whether callers send a refused request again, and when. */
  readonly returns?: "told" | "at-once";
}

/** A caller's request and what came of it. */
export interface Played {
  readonly kind: PlayedKind;
  readonly account: string | undefined;
  readonly at: number;
  outcome: "open" | "in-time" | "late" | "refused";
}

interface Waiting extends PlacementRequest {
  readonly objectiveAt: number;
  readonly account: AccountId | undefined;
  readonly played: Played;
  readonly isReturn: boolean;
  readonly isRetry: boolean;
  /** Name of the object. */
  readonly name: string;
}

/** Plays the load; returns the requests of all callers. */
export function play(load: Play): Played[] {
  return new RoomPlay(load).run();
}

class RoomPlay {
  readonly #load: Play;
  readonly #random = randomFrom(11);
  readonly #targets = targetsIn("north", TARGETS);
  readonly #running = new Map<TargetId, number>();
  readonly #queued = new Map<TargetId, (() => void)[]>();
  readonly #vms: { steering: Steering; queue: WaitQueue<Waiting> }[] = [];
  readonly #homes = assignedHomes(this.#targets);
  readonly #plans = new RoomPlans();
  readonly #counts = new Map<number, { requests: number; refused: number }>();
  readonly #played: Played[] = [];
  #shares: readonly RoomShare[] = [];
  #due: { at: number; run: () => void }[] = [];
  #now = 0;

  constructor(load: Play) {
    this.#load = load;
    for (let at = 0; at < VMS; at++) {
      const steering = this.#steering(`vm-${at}`);
      this.#vms.push({ steering, queue: new WaitQueue() });
    }
  }

  run(): Played[] {
    for (; this.#now < this.#load.untilMs + DEADLINE_MS; this.#now += STEP_MS) {
      const due = this.#due.filter(({ at }) => at <= this.#now);
      this.#due = this.#due.filter(({ at }) => at > this.#now);
      due.forEach(({ run }) => run());
      this.#vms.forEach((vm) => this.#placeWaiting(vm));
      if (this.#now < this.#load.untilMs) {
        this.#load.kinds.forEach((kind) => this.#arrivals(kind));
      }
      if (this.#now % PLAN_MS === 0) {
        this.#plan();
      }
    }
    return this.#played;
  }

  #steering(vm: string): Steering {
    const options = { vm, location: { region: "north", zone: "north-1" } };
    const steering = new Steering({
      ...options as unknown as ConstructorParameters<typeof Steering>[0],
      retries: { ratio: 0.2, fixed: 20, windowMs: 10_000 },
      roomOf: () => this.#shares,
      homes: this.#homes,
    });
    steering.setFleetSize(VMS);
    this.#targets.forEach((target) => steering.setTarget(target));
    steering.room.setServices(new Set([SERVICE]));
    return steering;
  }

  #arrivals(kind: PlayedKind): void {
    const { account: accountOf } = kind;
    let count = kind.perSecond(this.#now) * STEP_MS / 1_000;
    for (; count > this.#random(); count -= 1) {
      const account = accountOf?.(this.#random, this.#now);
      const played: Played = { kind, account, at: this.#now, outcome: "open" };
      this.#played.push(played);
      const object = `o-${Math.floor(this.#random() * OBJECTS)}`;
      this.#send(played, { object, isReturn: false });
    }
  }

  #send(
    played: Played,
    { object, isReturn }: { object: string; isReturn: boolean },
  ): void {
    const { kind, account } = played;
    const vm = this.#vms[Math.floor(this.#random() * VMS)]!;
    const request: Waiting = {
      ...requestFor(object, { now: this.#now, kind: kind.name }),
      priority: kind.priority,
      account: account as AccountId | undefined,
      objectiveAt: this.#now + kind.objectiveMs,
      deadlineAt: played.at + DEADLINE_MS,
      played,
      isReturn,
      isRetry: false,
      name: object,
    };
    const counts = this.#countsOf(kind.priority);
    counts.requests += 1;
    vm.steering.arrived(SERVICE, kind.priority, { now: this.#now });
    const refused = vm.steering.checkRoom(request, this.#now);
    if (refused === undefined) {
      vm.queue.add(request);
    } else {
      this.#refuse(request, refused.retryAfterMs);
    }
  }

  #refuse(
    { played, isReturn, name: object }: Waiting,
    retryAfterMs: number,
  ): void {
    this.#countsOf(played.kind.priority).refused += 1;
    if (isReturn || this.#load.returns === undefined) {
      played.outcome = "refused";
      return;
    }
    const waitMs = this.#load.returns === "at-once" ? STEP_MS : retryAfterMs;
    this.#after(waitMs, () => this.#send(played, { object, isReturn: true }));
  }

  #placeWaiting(vm: { steering: Steering; queue: WaitQueue<Waiting> }): void {
    let ahead = 0;
    for (const request of vm.queue.inOrder(this.#now)) {
      const decision = vm.steering.place(request, { now: this.#now, ahead });
      if (decision.kind === "wait") {
        ahead += 1;
        continue;
      }
      vm.queue.remove(request);
      if (decision.kind === "refuse") {
        if (request.isRetry) {
          vm.steering.releaseRetry(SERVICE);
        }
        this.#refuse(request, decision.retryAfterMs);
      } else if (
        !request.isRetry || vm.steering.sendRetry(SERVICE, this.#now)
      ) {
        this.#submit(vm, request, decision.target);
      } else {
        this.#refuse(request, MIN_RETURN_MS);
      }
    }
  }

  #submit(
    vm: { steering: Steering; queue: WaitQueue<Waiting> },
    request: Waiting,
    id: TargetId,
  ): void {
    const sentAt = this.#now;
    vm.steering.sent(id, sentAt);
    vm.steering.written(id, sentAt);
    const queued = this.#queuedAt(id);
    const refusedShare = this.#load.refusedShare?.(sentAt, id) ?? 0;
    const isRefused = queued.length >= TARGET_QUEUE ||
      this.#random() < refusedShare;
    if (isRefused) {
      this.#answer(vm.steering, request, { id, sentAt, isRefusal: true });
      if (vm.steering.takeRetry(SERVICE, sentAt, request)) {
        vm.queue.add({ ...request, isRetry: true });
      } else {
        this.#refuse(request, MIN_RETURN_MS);
      }
      return;
    }
    const start = () => {
      this.#running.set(id, this.#runningAt(id) + 1);
      this.#after(request.played.kind.runMs, () => {
        this.#running.set(id, this.#runningAt(id) - 1);
        queued.shift()?.();
        this.#answer(vm.steering, request, { id, sentAt, isRefusal: false });
        const isInTime = this.#now <= played.at + played.kind.objectiveMs;
        played.outcome = isInTime ? "in-time" : "late";
      });
    };
    const { played } = request;
    if (this.#runningAt(id) < SLOTS) {
      start();
    } else {
      queued.push(start);
    }
  }

  #answer(
    steering: Steering,
    { kind, object }: Waiting,
    { id, sentAt, isRefusal }: {
      id: TargetId;
      sentAt: number;
      isRefusal: boolean;
    },
  ): void {
    steering.ended(id, {
      kind: "answered",
      load: {
        running: this.#runningAt(id),
        waiting: this.#queuedAt(id).length,
        slots: SLOTS,
      },
      failed: isRefusal,
      isRefusal,
      object,
      requestKind: kind,
      warmth: "unknown",
    }, { now: this.#now, writtenAt: sentAt });
  }

  /** Does what the owner of the service's homes does. */
  #plan(): void {
    const priorities = this.#load.kinds.map(({ priority, runMs }) => ({
      priority,
      ...this.#countsOf(priority),
      workMs: runMs,
    }));
    this.#counts.clear();
    this.#shares = this.#plans.roomOf(SERVICE, {
      spanMs: PLAN_MS,
      priorities,
      capacity: CAPACITY_SLOTS,
      others: [],
      busySlots: 0,
    });
  }

  #countsOf(priority: number): { requests: number; refused: number } {
    const counts = this.#counts.get(priority) ?? { requests: 0, refused: 0 };
    this.#counts.set(priority, counts);
    return counts;
  }

  #runningAt(id: TargetId): number {
    return this.#running.get(id) ?? 0;
  }

  #queuedAt(id: TargetId): (() => void)[] {
    const queued = this.#queued.get(id) ?? [];
    this.#queued.set(id, queued);
    return queued;
  }

  #after(ms: number, run: () => void): void {
    this.#due.push({ at: this.#now + ms, run });
  }
}

/** Homes of all objects, two for each, spread evenly over the targets. */
function assignedHomes(targets: readonly SteeredTarget[]): HomeSource {
  const noop = () => undefined;
  const homes = new Map<number, readonly number[]>();
  for (let at = 0; at < OBJECTS; at++) {
    const pair = [at, at + 1 + Math.floor(at / targets.length)];
    homes.set(
      hashText(`o-${at}`),
      pair.map((one) => targets[one % targets.length]!.hash),
    );
  }
  return {
    has: () => true,
    lookUp: ({ object }) => ({
      kind: "assigned",
      targets: homes.get(object)!,
    }),
    requestAnother: noop,
    recordDemand: noop,
    recordResponse: noop,
    recordRefusal: noop,
  };
}

/** Share of the requests with an outcome. */
export function shareOf(
  played: readonly Played[],
  outcome: Played["outcome"],
): number {
  return played.filter((one) => one.outcome === outcome).length / played.length;
}

/** An account named by the hash of a random number, `count` of them. */
export function anyAccount(random: () => number, count: number): string {
  return `a-${hashText(String(Math.floor(random() * count)))}`;
}
