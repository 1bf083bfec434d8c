/**
 * Plans the room of the services whose homes a VM owns, from what the VMs of its
 * region report.
 *
 * @module
 */

import type { ServiceId } from "@poplarthread/ids";
import type { ServiceDemand } from "../homes/home_agent.ts";
import type { PriorityDemand, RoomShare } from "../homes/messages.ts";
import {
  demandSlotsOf,
  type PriorityOffer,
  regionCapacity,
  RoomPlanner,
} from "./room_shares.ts";

/** Weight of the latest span in the rates: reports of VMs fall into it by chance. */
const LATEST_WEIGHT = 0.8;

/** The state of one service. */
interface ServicePlan {
  readonly planner: RoomPlanner;
  offers: readonly PriorityOffer[];
}

/** See the module comment. */
export class RoomPlans {
  readonly #services = new Map<ServiceId, ServicePlan>();

  /** The room to announce, or none while there is room for all. */
  roomOf(service: ServiceId, demand: ServiceDemand): readonly RoomShare[] {
    const { spanMs, capacity, others, priorities } = demand;
    if (spanMs <= 0) {
      return [];
    }
    const plan = this.#services.get(service) ??
      { planner: new RoomPlanner(), offers: [] };
    this.#services.set(service, plan);
    plan.offers = smoothed(plan.offers, priorities, spanMs);
    const own = {
      capacitySlots: capacity,
      demandSlots: demandSlotsOf(plan.offers),
    };
    return plan.planner.plan({
      offers: plan.offers,
      capacitySlots: regionCapacity(own, others),
    }, spanMs);
  }
}

function smoothed(
  before: readonly PriorityOffer[],
  demands: readonly PriorityDemand[],
  spanMs: number,
): readonly PriorityOffer[] {
  const priorities = new Set(
    [...before, ...demands].map((one) => one.priority),
  );
  return [...priorities].flatMap((priority) => {
    const old = before.find((one) => one.priority === priority);
    const demand = demands.find((one) => one.priority === priority);
    const perSecond = mix(old?.perSecond, demand?.requests ?? 0, spanMs);
    return perSecond < MIN_PER_SECOND ? [] : [{
      priority,
      perSecond,
      refusedPerSecond: (demand?.refused ?? 0) * 1_000 / spanMs,
      workMs: demand?.workMs ?? old?.workMs ?? 0,
    }];
  });
}

/** Rate at which a priority without requests is dropped. */
const MIN_PER_SECOND = 0.01;

function mix(
  before: number | undefined,
  requests: number,
  spanMs: number,
): number {
  const latest = requests * 1_000 / spanMs;
  return before === undefined
    ? latest
    : before + LATEST_WEIGHT * (latest - before);
}
