/**
 * Limit updates between VMs: the request rates that targets state as their limits.
 *
 * On its own, a VM learns of a limit only from the response to a request. In a fleet of
 * hundreds of VMs, one request from each is as much load as the target asked to be spared;
 * and a VM would learn of the end of a limit only in its next time slot for the target,
 * minutes later.
 *
 * @module
 */

import type { TargetId } from "@poplarthread/ids";
import type { ReportedLimit } from "@poplarthread/placement";
import * as z from "zod";

/** Interval at which pending updates are sent. */
export const LIMIT_UPDATE_INTERVAL_MS = 250;
/** How many times each update is sent, since single datagrams get lost. */
const SENDS_PER_UPDATE = 3;
/** Pending updates; beyond this the oldest are dropped. */
const MAX_PENDING = 200;
/** About 50 bytes each, so that a datagram stays below 1,400 bytes. */
const MAX_UPDATES_PER_DATAGRAM = 20;

const updateSchema = z.object({
  target: z.string(),
  /** Null if the target has no limit any more. */
  perSecond: z.number().min(0).nullable(),
  /** Time since the target's response. */
  ageMs: z.number().min(0),
});
const paramsSchema = z.object({ limits: z.array(updateSchema) });

/** A target's limit, as stated in one of its responses. */
export interface LimitUpdate extends ReportedLimit {
  readonly target: TargetId;
}

/** Pending updates, each until it has been sent often enough. */
export class LimitUpdates {
  readonly #pending = new Map<
    TargetId,
    { update: LimitUpdate; remaining: number }
  >();

  get isEmpty(): boolean {
    return this.#pending.size === 0;
  }

  /** Adds an update; it replaces the pending one of the same target. */
  add(update: LimitUpdate): void {
    this.#pending.delete(update.target);
    this.#pending.set(update.target, { update, remaining: SENDS_PER_UPDATE });
    if (this.#pending.size > MAX_PENDING) {
      const [oldest] = this.#pending.keys();
      this.#pending.delete(oldest!);
    }
  }

  /** Updates to send now, as the parameters of one datagram each. */
  take(now: number): readonly object[] {
    const updates = [...this.#pending.values()].map(({ update }) => update);
    for (const [target, pending] of this.#pending) {
      pending.remaining -= 1;
      if (pending.remaining === 0) {
        this.#pending.delete(target);
      }
    }
    return encodeLimits(updates, now);
  }
}

/** Decodes the parameters of a datagram; undefined if they are not limit updates. */
export function decodeLimits(
  params: unknown,
  now: number,
): readonly LimitUpdate[] | undefined {
  const { data } = paramsSchema.safeParse(params);
  return data?.limits.map(({ target, perSecond, ageMs }) => ({
    target: target as TargetId,
    perSecond: perSecond ?? undefined,
    at: now - ageMs,
  }));
}

function encodeLimits(
  updates: readonly LimitUpdate[],
  now: number,
): readonly object[] {
  const datagrams: object[] = [];
  for (let from = 0; from < updates.length; from += MAX_UPDATES_PER_DATAGRAM) {
    const limits = updates.slice(from, from + MAX_UPDATES_PER_DATAGRAM)
      .map(({ target, perSecond, at }) => ({
        target,
        perSecond: perSecond ?? null,
        ageMs: Math.round(now - at),
      }));
    datagrams.push({ limits });
  }
  return datagrams;
}
