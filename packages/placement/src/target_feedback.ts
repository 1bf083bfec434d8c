/**
 * What this VM learns about targets from attempts: their load, health, times and
 * warm objects.
 *
 * @module
 */

import type { ServiceId, TargetId } from "@poplarthread/ids";
import type { AttemptResult } from "./placement.ts";
import type { HomeSource } from "./homes/home_source.ts";
import type { SteeredEntry } from "./target_entries.ts";
import type { LoadReport } from "./target_load.ts";
import type { TargetKnowledge } from "./target_knowledge.ts";
import type { HashedPair } from "./warm_objects.ts";

/** Times of an attempt. */
export interface AttemptTimes {
  readonly now: number;
  /** Undefined if it was never written to the connection. */
  readonly writtenAt: number | undefined;
}

type Answered = Extract<AttemptResult, { kind: "answered" }>;

/** Receivers of what is learned, besides the targets' entries. */
export interface TargetFeedbackOptions {
  /** Called when other VMs should know that a target is warm for an object. */
  onWarmPair(pair: HashedPair): void;
  readonly homes: HomeSource | undefined;
}

/** Applies the outcomes of attempts and probes. */
export class TargetFeedback {
  readonly #known: TargetKnowledge;
  readonly #options: TargetFeedbackOptions;
  /**
   * Targets that may have pending requests of this VM. Few of several hundred have
   * any at one time.
   */
  readonly #withPendingRequests = new Set<SteeredEntry>();
  /** Targets that may be unusable and need probes. */
  readonly #unhealthy = new Set<SteeredEntry>();

  constructor(known: TargetKnowledge, options: TargetFeedbackOptions) {
    this.#known = known;
    this.#options = options;
  }

  /** The target no longer exists. */
  removed(entry: SteeredEntry): void {
    this.#withPendingRequests.delete(entry);
    this.#unhealthy.delete(entry);
  }

  /** Records that a request has been written to the target's connection. */
  written(entry: SteeredEntry, now: number): void {
    entry.health.sent(now);
    this.#withPendingRequests.add(entry);
  }

  /** Records the end of an attempt. */
  ended(
    entry: SteeredEntry,
    result: AttemptResult,
    { now, writtenAt }: AttemptTimes,
  ): void {
    entry.load.ended();
    if (writtenAt === undefined) {
      return;
    }
    switch (result.kind) {
      case "answered":
        this.#responded(entry, result, { now, writtenAt });
        return;
      case "broke":
        entry.health.connectionBroke(writtenAt, now);
        return;
      case "abandoned":
        entry.health.removePending(writtenAt);
        return;
    }
  }

  /** Uses all targets again: that they failed says nothing about them. */
  forgetFailures(): void {
    for (const entry of this.#known.entries.all()) {
      entry.health.forgetFailures();
    }
    this.#withPendingRequests.clear();
    this.#unhealthy.clear();
  }

  /** Marks the target unreachable: no connection could be established. */
  markUnreachable(entry: SteeredEntry, now: number): void {
    entry.health.markUnreachable(now);
    this.#unhealthy.add(entry);
  }

  /**
   * Checks all targets with pending requests and returns those that have become
   * unresponsive since the last call.
   */
  findUnresponsive(now: number): readonly TargetId[] {
    const { serviceTimes } = this.#known;
    const unresponsive: TargetId[] = [];
    for (const entry of this.#withPendingRequests) {
      const { target, load, health } = entry;
      if (!health.hasPendingRequests) {
        this.#withPendingRequests.delete(entry);
        continue;
      }
      const serviceMs = serviceTimes.meanMs(target.service);
      const waitMs = load.waitMs(now, { slots: target.slots, serviceMs });
      const longMs = serviceTimes.longMs(target.service);
      if (health.detectUnresponsive(now, { waitMs, longMs })) {
        unresponsive.push(target.id);
        this.#unhealthy.add(entry);
      }
    }
    return unresponsive;
  }

  /** Targets that should be probed now. Schedules the next probe of each. */
  probesDue(now: number): readonly TargetId[] {
    const due: TargetId[] = [];
    for (const entry of this.#unhealthy) {
      const { target, health } = entry;
      if (health.state === "in-use") {
        this.#unhealthy.delete(entry);
      } else if (!target.isLeaving && health.probeDue(now)) {
        due.push(target.id);
      }
    }
    return due;
  }

  #responded(
    entry: SteeredEntry,
    result: Answered,
    times: { readonly now: number; readonly writtenAt: number },
  ): void {
    const { target, load } = entry;
    const { failed, object } = result;
    const { now, writtenAt } = times;
    const report = this.#weighed(result.load, target.service);
    this.#recordHealth(entry, result, { now, writtenAt });
    if (report !== undefined) {
      load.reported(report, now);
    }
    this.#options.homes?.recordResponse(target.service, {
      target: target.hash,
      pace: report?.pace,
      requests: result.load && result.load.running + result.load.waiting,
    });
    if (failed) {
      return;
    }
    const ms = now - writtenAt - this.#known.roundTrips.to(target);
    this.#recordTimes(entry, { ...result, load: report }, ms);
    if (object === undefined) {
      return;
    }
    const pair = { object, target: target.id };
    if (this.#known.warmObjects.recordUse(pair, now)) {
      this.#options.onWarmPair({ object, target: target.hash });
    }
  }

  /** What is weighed of a target's report: its pace only where homes are by load. */
  #weighed(
    load: LoadReport | undefined,
    service: ServiceId,
  ): LoadReport | undefined {
    return load?.pace === undefined || this.#options.homes?.has(service)
      ? load
      : { ...load, pace: undefined };
  }

  /** Where room is shared, a refusal is a failure only if other targets have room. */
  #recordHealth(
    { target, health }: SteeredEntry,
    { load, failed, isRefusal = false }: Answered,
    { now, writtenAt }: { readonly now: number; readonly writtenAt: number },
  ): void {
    const isRoomShort = this.#known.room
      .responded(target, { isRefusal, load, now });
    if (isRoomShort && isRefusal) {
      health.refused(writtenAt, now);
    } else {
      health.responded(writtenAt, { now, failed });
    }
  }

  /** Records a response time without the round trip. */
  #recordTimes(
    { target }: SteeredEntry,
    { load, requestKind, warmth }: Answered,
    ms: number,
  ): void {
    const { serviceTimes, kindTimes } = this.#known;
    serviceTimes.recordResponseTime(target.service, ms);
    if (load === undefined || load.waiting === 0) {
      const usualMs = ms / (load?.pace ?? 1);
      serviceTimes.recordServiceTime(target.service, usualMs);
      if (warmth !== "unknown") {
        kindTimes.record(requestKind, usualMs, warmth === "warm");
      }
    }
  }
}
