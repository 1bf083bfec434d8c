/**
 * Callers of a day: when they come, to which VM, how long they wait, and when
 * they ask again.
 *
 * @module
 */

import type { ZoneId } from "@poplarthread/ids";
import type { EmulatedAnswer, EmulatedRequest } from "./emulated_vm.ts";
import { WeightedPick } from "./random.ts";
import type { RequestKind, Scenario } from "./scenario.ts";
import type { Outcome } from "./tally.ts";
import type { World } from "./world.ts";

type Traffic = Scenario["traffic"][number];

/** Callers honour Retry-After up to this share of the time that they have left. */
const MOST_PAUSE_SHARE = 1 / 3;
/** Pause before a caller asks another VM after a failure, in milliseconds: a new connection. */
const RECONNECT_MS = 5;
/** Pause of a caller that finds no VM, in milliseconds. */
const NO_VM_MS = 200;

/** A request over all its attempts. */
interface Wish {
  readonly kind: RequestKind;
  readonly zone: ZoneId;
  readonly object: string | undefined;
  readonly workMs: number;
  readonly firstAt: number;
  readonly endsAt: number;
  retriesLeft: number;
}

/** See the module's comment. Times are milliseconds. */
export class Callers {
  readonly #world: World;
  readonly #from: number;
  readonly #until: number;
  readonly #kinds: ReadonlyMap<string, RequestKind>;
  readonly #objects: ReadonlyMap<string, WeightedPick<string>>;
  #count = 0;

  constructor(world: World, span: { from: number; until: number }) {
    this.#world = world;
    this.#from = span.from;
    this.#until = span.until;
    const { kinds } = world.scenario;
    this.#kinds = new Map(kinds.map((kind) => [kind.name, kind]));
    this.#objects = new Map(
      kinds.filter(({ objects }) => objects > 0)
        .map((kind) => [kind.name, objectsOf(kind)]),
    );
  }

  start(): void {
    for (const traffic of this.#world.scenario.traffic) {
      const mix = new WeightedPick(Object.entries(traffic.mix));
      this.#world.loop.after(this.#from, () => this.#next(traffic, mix));
    }
  }

  /** Comes at the rate of the moment, which changes slowly against the pauses. */
  #next(traffic: Traffic, mix: WeightedPick<string>): void {
    const { loop, random } = this.#world;
    const pauseMs = random.pauseMs(this.#rateNow(traffic) / 1_000);
    loop.after(pauseMs, () => {
      if (loop.now < this.#until) {
        this.#wish(traffic.zone, mix.pick(random));
        this.#next(traffic, mix);
      }
    });
  }

  #rateNow({ perSecond, wave }: Traffic): number {
    const { loop, traffic } = this.#world;
    const rate = perSecond * traffic.factor;
    if (wave === undefined) {
      return rate;
    }
    const turns = (loop.now - this.#from) / 1_000 / wave.periodS + wave.phase;
    return rate *
      Math.max(0.05, 1 + wave.swing * Math.sin(2 * Math.PI * turns));
  }

  #wish(zone: string, kindName: string): void {
    const { loop, random, traffic } = this.#world;
    const kind = this.#kinds.get(kindName)!;
    let came = zone;
    for (const { from, to, share } of traffic.shifts) {
      if (came === from && random.uniform() < share) {
        came = to;
      }
    }
    this.#ask({
      kind,
      zone: came as ZoneId,
      object: this.#objectOf(kind, zone as ZoneId),
      workMs: kind.workMs * random.around(kind.spread),
      firstAt: loop.now,
      endsAt: loop.now + kind.deadlineMs,
      retriesLeft: kind.retries,
    });
  }

  /** Callers that come in another zone still ask for the objects of their own. */
  #objectOf(
    { name, perRegion }: RequestKind,
    zone: ZoneId,
  ): string | undefined {
    const object = this.#objects.get(name)?.pick(this.#world.random);
    return object !== undefined && perRegion
      ? `${object}-${this.#world.regionOf(zone)}`
      : object;
  }

  #ask(wish: Wish): void {
    const { loop, random } = this.#world;
    const vm = random.pick(this.#world.vmsNear(wish.zone));
    if (vm === undefined) {
      this.#failed(wish, NO_VM_MS, "failed");
      return;
    }
    const wayMs = this.#world.callerDelayMs(wish.zone, vm);
    let isOver = false;
    let leave: (() => void) | undefined;
    loop.after(Math.max(0, wish.endsAt - loop.now), () => {
      if (!isOver) {
        isOver = true;
        loop.after(wayMs, () => leave?.());
        this.#end(wish, "unanswered");
      }
    });
    loop.after(wayMs, () => {
      this.#count += 1;
      const request: EmulatedRequest = {
        id: `r${this.#count}`,
        route: this.#world.routes.get(wish.kind.name)!,
        service: this.#world.serviceFor(vm, wish.kind),
        object: wish.object,
        workMs: wish.workMs,
        warmGain: wish.kind.warmGain,
        deadlineMs: wish.endsAt - loop.now + wayMs,
        answered: (answer) =>
          loop.after(wayMs, () => {
            if (!isOver) {
              isOver = true;
              this.#answered(wish, answer);
            }
          }),
      };
      this.#world.remember(request, wish.kind);
      leave = vm.request(request);
    });
  }

  #answered(wish: Wish, answer: EmulatedAnswer | undefined): void {
    const { loop } = this.#world;
    if (answer?.status === 200) {
      const isInAim = loop.now - wish.firstAt <= wish.kind.aimMs;
      this.#end(wish, isInAim ? "in-aim" : "late");
    } else if (answer?.status === 503) {
      const pauseMs = Math.min(
        answer.retryAfterMs ?? 0,
        (wish.endsAt - loop.now) * MOST_PAUSE_SHARE,
      );
      this.#failed(wish, pauseMs, "refused");
    } else if (wish.kind.repeat === "idempotent") {
      this.#failed(wish, RECONNECT_MS, "failed");
    } else {
      this.#end(wish, "failed");
    }
  }

  /** Asks again where it may. */
  #failed(wish: Wish, pauseMs: number, outcome: Outcome): void {
    const { loop } = this.#world;
    if (wish.retriesLeft === 0 || loop.now + pauseMs >= wish.endsAt) {
      this.#end(wish, outcome);
      return;
    }
    wish.retriesLeft -= 1;
    loop.after(pauseMs, () => this.#ask(wish));
  }

  #end({ kind, zone, firstAt }: Wish, outcome: Outcome): void {
    this.#world.served.push({
      kind: kind.name,
      zone,
      at: firstAt - this.#from,
      owed: kind.worth,
      earned: outcome === "in-aim"
        ? kind.worth
        : outcome === "late"
        ? kind.lateWorth
        : 0,
      outcome,
    });
  }
}

/** Objects of a kind, the first ones asked for most. */
function objectsOf({ name, objects, skew }: RequestKind): WeightedPick<string> {
  return new WeightedPick(
    Array.from({ length: objects }, (_, rank) =>
      [
        `${name}-${rank}`,
        1 / (rank + 1) ** skew,
      ] as const),
  );
}
