/**
 * Divides a service's room among the priorities that ask for it, on the VM that
 * owns the service's homes in a region.
 *
 * Answers loads with more work than slots: bursts of one kind of request, targets
 * that are slow or refuse a part of what they get. Without shares, less urgent
 * requests of all VMs fill the targets' queues, and the most urgent ones, which
 * have the least slack, are late.
 *
 * @module
 */

import type { RoomShare } from "../homes/messages.ts";
import { ReturnCalendar } from "./return_calendar.ts";

/** What callers ask for at one priority. */
export interface PriorityOffer {
  /** Priority rank; 0 is the most urgent. */
  readonly priority: number;
  /** Requests per second, refused ones and those that return included. */
  readonly perSecond: number;
  /** Those of them that were refused for lack of room. */
  readonly refusedPerSecond: number;
  /** Mean time that a warm target takes for one of them. */
  readonly workMs: number;
}

/** Demand and capacity of a service in a region. */
export interface ServiceRoom {
  /** At most one for each priority. */
  readonly offers: readonly PriorityOffer[];
  /** Slots that the region's requests can keep busy; see {@link regionCapacity}. */
  readonly capacitySlots: number;
}

/** The share of each priority that the room suffices for. */
export interface DividedRoom {
  readonly offer: PriorityOffer;
  /** 0 to 1. */
  readonly admitted: number;
}

/** Share of any priority's requests that is admitted, so that none starves. */
const FLOOR_SHARE = 0.1;
/**
 * Room is short when demand exceeds this share of the capacity, until it falls
 * below the second one. The gap is wider than the variation of a steady demand.
 */
const SHORT_ABOVE_USE = 1;
const ENOUGH_BELOW_USE = 0.85;
/**
 * Share of the capacity that is given out while room is short: queues at targets
 * would grow without bound at the full capacity.
 */
const USABLE_SHARE = 0.95;
/** Share of the admitted requests whose room is promised to returning ones. */
const RETURN_ROOM_SHARE = 0.5;

/**
 * Part of what all regions get on average that each one gets: callers of a region
 * without targets must not starve because all other regions are short as well.
 */
const GUARANTEED_PART = 0.5;

/** A region's part in the use of a service. */
export interface RegionUse {
  /** Capacity of its own targets. */
  readonly capacitySlots: number;
  /** Slots that its callers' requests would keep busy. */
  readonly demandSlots: number;
}

/**
 * Capacity for the callers of region `own`: its own targets, and its part of what
 * the other regions leave unused. Regions that are short divide that in proportion
 * to what they lack. A region that would get far less than the others gets some of
 * theirs.
 */
export function regionCapacity(
  own: RegionUse,
  others: readonly RegionUse[],
): number {
  const all = [own, ...others];
  const capacity = sumOf(all, ({ capacitySlots }) => capacitySlots);
  const demand = sumOf(all, ({ demandSlots }) => demandSlots);
  const guaranteedShare = GUARANTEED_PART * Math.min(1, capacity / demand);
  const surplusOf = (one: RegionUse) => {
    const rest = all.filter((other) => other !== one);
    const usable = Math.min(one.demandSlots, localCapacity(one, rest));
    return usable - guaranteedShare * one.demandSlots;
  };
  const missing = sumOf(all, (one) => Math.max(0, -surplusOf(one)));
  if (demand === 0 || missing === 0) {
    return localCapacity(own, others);
  }
  const surplus = sumOf(all, (one) => Math.max(0, surplusOf(one)));
  const kept = Math.max(0, surplusOf(own)) * (1 - missing / surplus);
  return guaranteedShare * own.demandSlots + kept;
}

function sumOf(
  regions: readonly RegionUse[],
  slots: (region: RegionUse) => number,
): number {
  return regions.reduce((sum, one) => sum + slots(one), 0);
}

/** Capacity by what each region has and leaves unused. */
function localCapacity(
  own: RegionUse,
  others: readonly RegionUse[],
): number {
  const lacking = lackOf(own);
  if (lacking === 0) {
    return own.capacitySlots;
  }
  const spare = others.reduce(
    (sum, one) => sum + Math.max(0, one.capacitySlots - one.demandSlots),
    0,
  );
  const allLacking = others.reduce((sum, one) => sum + lackOf(one), lacking);
  return own.capacitySlots + spare * lacking / allLacking;
}

function lackOf({ capacitySlots, demandSlots }: RegionUse): number {
  return Math.max(0, demandSlots - capacitySlots);
}

/**
 * Divides `capacitySlots`: each priority gets the floor, and then what it asks for,
 * the most urgent first. The result is in order of urgency.
 */
export function divideRoom(
  { offers, capacitySlots }: ServiceRoom,
): readonly DividedRoom[] {
  const demand = demandSlotsOf(offers);
  const floor = demand > 0 ? Math.min(FLOOR_SHARE, capacitySlots / demand) : 1;
  let left = Math.max(0, capacitySlots - floor * demand);
  let admitted = 1;
  return offers.toSorted((a, b) => a.priority - b.priority).map((offer) => {
    const rest = slotsOf(offer) * (1 - floor);
    const granted = Math.min(rest, left);
    left -= granted;
    // A priority without demand gets no more than the one before it.
    admitted = rest > 0
      ? floor + (1 - floor) * Math.min(1, granted / rest)
      : admitted;
    return { offer, admitted };
  });
}

/** Plans the shares of one service, as long as its room is short. */
export class RoomPlanner {
  readonly #returns = new ReturnPlanner();
  #isShort = false;

  /**
   * The shares of all priorities, or none while there is room for all. `spanMs` is
   * the time since the last plan, which the room was measured in.
   */
  plan(room: ServiceRoom, spanMs: number): readonly RoomShare[] {
    this.#returns.advance(spanMs);
    if (!this.#updateShortage(room)) {
      return [];
    }
    const capacitySlots = room.capacitySlots * USABLE_SHARE;
    const divided = divideRoom({ offers: room.offers, capacitySlots });
    return this.#returns.plan(divided, spanMs);
  }

  #updateShortage({ offers, capacitySlots }: ServiceRoom): boolean {
    const demand = demandSlotsOf(offers);
    const bound = this.#isShort ? ENOUGH_BELOW_USE : SHORT_ABOVE_USE;
    this.#isShort = demand > capacitySlots * bound;
    return this.#isShort;
  }
}

/** Plans when refused requests of one service find room. */
export class ReturnPlanner {
  readonly #calendars = new Map<number, ReturnCalendar>();
  /** Time that has passed, in milliseconds. */
  #now = 0;

  /** Lets time pass, also while there is room for all. */
  advance(spanMs: number): void {
    this.#now += spanMs;
  }

  /** The shares with return times; `spanMs` is the time that refusals were counted in. */
  plan(
    divided: readonly DividedRoom[],
    spanMs: number,
  ): readonly RoomShare[] {
    return divided.map((one) => this.#share(one, spanMs));
  }

  #share({ offer, admitted }: DividedRoom, spanMs: number): RoomShare {
    const { priority, perSecond, refusedPerSecond } = offer;
    const calendar = this.#calendar(priority);
    const returnMs = calendar.promise({
      requests: refusedPerSecond * spanMs / 1_000,
      roomPerSecond: perSecond * admitted * RETURN_ROOM_SHARE,
    }, this.#now);
    return { priority, admitted, returnMs: Math.round(returnMs) };
  }

  #calendar(priority: number): ReturnCalendar {
    let calendar = this.#calendars.get(priority);
    if (calendar === undefined) {
      calendar = new ReturnCalendar();
      this.#calendars.set(priority, calendar);
    }
    return calendar;
  }
}

/** Slots that the offered work would keep busy. */
export function demandSlotsOf(offers: readonly PriorityOffer[]): number {
  return offers.reduce((sum, offer) => sum + slotsOf(offer), 0);
}

function slotsOf({ perSecond, workMs }: PriorityOffer): number {
  return perSecond * workMs / 1_000;
}
