/**
 * Emulated callers: when they send requests and to which VM, how long they wait
 * for a response, and when they retry.
 *
 * @module
 */

import type { ZoneId } from "@poplarthread/ids";
import type { EmulatedRequest, EmulatedResponse } from "./emulated_vm.ts";
import { WeightedChoice } from "./random.ts";
import type { RequestKind, Scenario } from "./scenario.ts";
import type { Outcome } from "./tally.ts";
import type { World } from "./world.ts";

type Traffic = Scenario["traffic"][number];

/** Callers honour Retry-After up to this share of the time left until their deadline. */
const MAX_RETRY_AFTER_SHARE = 1 / 3;
/** Delay before a caller retries at another VM after a failure: the time to connect anew. */
const RECONNECT_MS = 5;
/** Delay before a caller retries when no VM is up. */
const NO_VM_RETRY_MS = 200;

/** A caller's request with all its attempts. */
interface CallerRequest {
  readonly kind: RequestKind;
  readonly zone: ZoneId;
  readonly object: string | undefined;
  readonly workMs: number;
  readonly startedAt: number;
  readonly deadlineAt: number;
  retriesLeft: number;
}

/** Generates the traffic of a scenario. Points in time are milliseconds of virtual time. */
export class Callers {
  readonly #world: World;
  readonly #startsAt: number;
  readonly #endsAt: number;
  readonly #kinds: ReadonlyMap<string, RequestKind>;
  readonly #mixes = new Map<Traffic, WeightedChoice<string>>();
  readonly #objectChoices: ReadonlyMap<string, WeightedChoice<string>>;
  #attemptCount = 0;

  constructor(world: World, span: { from: number; until: number }) {
    this.#world = world;
    this.#startsAt = span.from;
    this.#endsAt = span.until;
    const { kinds } = world.scenario;
    this.#kinds = new Map(kinds.map((kind) => [kind.name, kind]));
    this.#objectChoices = new Map(
      kinds.filter(({ objects }) => objects > 0)
        .map((kind) => [kind.name, objectChoice(kind)]),
    );
  }

  start(): void {
    for (const traffic of this.#world.scenario.traffic) {
      const mix = new WeightedChoice(Object.entries(traffic.mix));
      this.#mixes.set(traffic, mix);
      this.#world.loop.after(
        this.#startsAt,
        () => this.#scheduleNext(traffic),
      );
    }
  }

  /**
   * Schedules the next request. The interval is drawn for the current rate, which
   * changes little within one interval.
   */
  #scheduleNext(traffic: Traffic): void {
    const { loop, random } = this.#world;
    const intervalMs = random.intervalMs(this.#currentRate(traffic) / 1_000);
    loop.after(intervalMs, () => {
      if (loop.now < this.#endsAt) {
        this.#createRequest(traffic.zone, this.#mixOf(traffic).pick(random));
        this.#scheduleNext(traffic);
      }
    });
  }

  /** Kinds of request and their weights at this moment. */
  #mixOf(traffic: Traffic): WeightedChoice<string> {
    return this.#world.traffic.kindBursts.size === 0
      ? this.#mixes.get(traffic)!
      : new WeightedChoice(Object.entries(this.#burstMix(traffic)));
  }

  #burstMix({ mix }: Traffic): Readonly<Record<string, number>> {
    const weights = { ...mix };
    for (const { requestKind, factor } of this.#world.traffic.kindBursts) {
      if (weights[requestKind] !== undefined) {
        weights[requestKind] *= factor;
      }
    }
    return weights;
  }

  #currentRate(zoneTraffic: Traffic): number {
    const { loop, traffic } = this.#world;
    const { perSecond, wave, mix } = zoneTraffic;
    const mixFactor = traffic.kindBursts.size === 0
      ? 1
      : sumOf(this.#burstMix(zoneTraffic)) / sumOf(mix);
    const rate = perSecond * traffic.factor * mixFactor;
    if (wave === undefined) {
      return rate;
    }
    const cycles = (loop.now - this.#startsAt) / 1_000 / wave.periodS +
      wave.phase;
    return rate *
      Math.max(0.05, 1 + wave.swing * Math.sin(2 * Math.PI * cycles));
  }

  #createRequest(zone: string, kindName: string): void {
    const { loop, random, traffic } = this.#world;
    const kind = this.#kinds.get(kindName)!;
    let callerZone = zone;
    for (const { from, to, share } of traffic.shifts) {
      if (callerZone === from && random.uniform() < share) {
        callerZone = to;
      }
    }
    this.#sendAttempt({
      kind,
      zone: callerZone as ZoneId,
      object: this.#objectOf(kind, zone as ZoneId),
      workMs: this.#workOf(kind),
      startedAt: loop.now,
      deadlineAt: loop.now + kind.deadlineMs,
      retriesLeft: kind.retries,
    });
  }

  #workOf({ workMs, spread, tails }: RequestKind): number {
    const { random } = this.#world;
    const usualMs = workMs * random.normalFactor(spread);
    return tails !== undefined && random.uniform() < tails.share
      ? usualMs * tails.factor
      : usualMs;
  }

  /** Requests shifted to another zone still ask for the objects of their own zone's region. */
  #objectOf(
    { name, perRegion }: RequestKind,
    zone: ZoneId,
  ): string | undefined {
    const object = this.#objectChoices.get(name)?.pick(this.#world.random);
    return object !== undefined && perRegion
      ? `${object}-${this.#world.regionOf(zone)}`
      : object;
  }

  #sendAttempt(callerRequest: CallerRequest): void {
    const { loop, random } = this.#world;
    const vm = random.pick(this.#world.vmsFor(callerRequest.zone));
    if (vm === undefined) {
      this.#retryOrEnd(callerRequest, NO_VM_RETRY_MS, "failed");
      return;
    }
    const delayMs = this.#world.callerDelayMs(callerRequest.zone, vm);
    let isOver = false;
    let disconnect: (() => void) | undefined;
    loop.after(Math.max(0, callerRequest.deadlineAt - loop.now), () => {
      if (!isOver) {
        isOver = true;
        loop.after(delayMs, () => disconnect?.());
        this.#recordResult(callerRequest, "unanswered");
      }
    });
    loop.after(delayMs, () => {
      this.#attemptCount += 1;
      const request: EmulatedRequest = {
        id: `r${this.#attemptCount}`,
        route: this.#world.routes.get(callerRequest.kind.name)!,
        service: this.#world.serviceFor(vm, callerRequest.kind),
        object: callerRequest.object,
        workMs: callerRequest.workMs,
        warmGain: callerRequest.kind.warmGain,
        deadlineMs: callerRequest.deadlineAt - loop.now + delayMs,
        respond: (response) =>
          loop.after(delayMs, () => {
            if (!isOver) {
              isOver = true;
              this.#receive(callerRequest, response);
            }
          }),
      };
      this.#world.recordJob(request, callerRequest.kind);
      this.#world.retryUse.requested(request.service, loop.now - delayMs);
      disconnect = vm.receive(request);
    });
  }

  #receive(
    request: CallerRequest,
    response: EmulatedResponse | undefined,
  ): void {
    const { loop } = this.#world;
    if (response?.status === 200) {
      const isInTime = loop.now - request.startedAt <= request.kind.aimMs;
      this.#recordResult(request, isInTime ? "in-aim" : "late");
    } else if (response?.status === 503) {
      const pauseMs = Math.min(
        response.retryAfterMs ?? 0,
        (request.deadlineAt - loop.now) * MAX_RETRY_AFTER_SHARE,
      );
      this.#retryOrEnd(request, pauseMs, "refused");
    } else if (request.kind.repeat === "idempotent") {
      this.#retryOrEnd(request, RECONNECT_MS, "failed");
    } else {
      this.#recordResult(request, "failed");
    }
  }

  /** Retries if retries and time are left, and ends the request with `outcome` otherwise. */
  #retryOrEnd(request: CallerRequest, pauseMs: number, outcome: Outcome): void {
    const { loop } = this.#world;
    if (request.retriesLeft === 0 || loop.now + pauseMs >= request.deadlineAt) {
      this.#recordResult(request, outcome);
      return;
    }
    request.retriesLeft -= 1;
    loop.after(pauseMs, () => this.#sendAttempt(request));
  }

  #recordResult(
    { kind, zone, startedAt }: CallerRequest,
    outcome: Outcome,
  ): void {
    this.#world.results.push({
      kind: kind.name,
      zone,
      at: startedAt - this.#startsAt,
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

function sumOf(weights: Readonly<Record<string, number>>): number {
  return Object.values(weights).reduce((sum, one) => sum + one, 0);
}

/** Objects of a kind of request, with a Zipf distribution: the first ones are the most popular. */
function objectChoice(
  { name, objects, skew }: RequestKind,
): WeightedChoice<string> {
  return new WeightedChoice(
    Array.from({ length: objects }, (_, rank) =>
      [
        `${name}-${rank}`,
        1 / (rank + 1) ** skew,
      ] as const),
  );
}
