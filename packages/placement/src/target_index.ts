/**
 * Index of a VM's targets by service, with cached rendezvous orders and home
 * shares.
 *
 * In a large fleet with hundreds of targets and VMs, some are added, removed or
 * restarted every few hundred milliseconds during a rollout. Recomputing orders and
 * shares on each change used up a VM's CPU exactly when requests needed it. So a
 * change invalidates only what depends on it, and invalidated values are recomputed
 * when a request needs them.
 *
 * @module
 */

import type { RegionId, ServiceId, TargetId } from "@poplarthread/ids";
import {
  firstInOrder,
  hasHome,
  rendezvousOrder,
  type RendezvousOrderParams,
} from "./rendezvous_order.ts";
import { homeShares } from "./home_shares.ts";
import type { Location, SteeredTarget } from "./target.ts";

/** An indexed item. Its target may be replaced by an updated one. */
export interface TargetEntry {
  target: SteeredTarget;
}

/** A rendezvous order, complete only if that was needed. */
interface CachedOrder<T> {
  readonly first: readonly T[];
  all: readonly T[] | undefined;
}

/** The targets of one service. */
class ServiceTargets<T> {
  readonly entries: T[] = [];
  /** Orders by object and by whether the object has a home in this VM's region. */
  readonly orders = new Map<number, CachedOrder<T>>();
  /** Undefined until a request needs them. */
  shares: ReadonlyMap<RegionId, number> | undefined;
}

/**
 * Length of an order that is computed first: the targets that a request usually
 * compares, plus a margin for unusable ones.
 */
const INITIAL_ORDER_LENGTH = 24;
/**
 * Cached orders per service; all are dropped when there are more. A complete order
 * of 700 targets takes 6 kB.
 */
const MAX_CACHED_ORDERS = 1_500;

/** Index of targets with cached rendezvous orders. */
export class TargetIndex<T extends TargetEntry> {
  readonly #from: Location;
  readonly #entries = new Map<TargetId, T>();
  readonly #services = new Map<ServiceId, ServiceTargets<T>>();
  #vmsByRegion: ReadonlyMap<RegionId, number> = new Map();
  #evacuated: ReadonlySet<string> = new Set();

  /** `from` is the location of this VM. */
  constructor(from: Location) {
    this.#from = from;
  }

  get(id: TargetId): T | undefined {
    return this.#entries.get(id);
  }

  /** Sets the reachable VMs. */
  setVms(vms: readonly { readonly region: RegionId }[]): void {
    const counts = new Map<RegionId, number>();
    for (const { region } of vms) {
      counts.set(region, (counts.get(region) ?? 0) + 1);
    }
    this.#vmsByRegion = counts;
    this.#invalidateShares();
  }

  /** Sets the zones whose targets receive no requests. */
  setEvacuated(zones: ReadonlySet<string>): void {
    this.#evacuated = zones;
    this.#invalidateShares();
  }

  add(entry: T): void {
    const { id, service } = entry.target;
    this.#entries.set(id, entry);
    const targets = this.#services.get(service) ?? new ServiceTargets<T>();
    this.#services.set(service, targets);
    targets.entries.push(entry);
    targets.orders.clear();
    targets.shares = undefined;
  }

  /**
   * Replaces the target of an entry; its service, location or state may have
   * changed.
   */
  update(entry: T, target: SteeredTarget): void {
    const before = entry.target;
    if (before.service !== target.service || before.region !== target.region) {
      this.delete(target.id);
      entry.target = target;
      this.add(entry);
      return;
    }
    entry.target = target;
    this.#services.get(target.service)!.shares = undefined;
  }

  delete(id: TargetId): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) {
      return;
    }
    this.#entries.delete(id);
    const targets = this.#services.get(entry.target.service)!;
    targets.entries.splice(targets.entries.indexOf(entry), 1);
    targets.orders.clear();
    targets.shares = undefined;
  }

  /** The targets of a service in unspecified order. */
  ofService(service: ServiceId): readonly T[] {
    return this.#services.get(service)?.entries ?? [];
  }

  /** The targets of a service in the rendezvous order of an object. */
  *inOrder(service: ServiceId, object: number): Iterable<T> {
    const targets = this.#services.get(service);
    if (targets === undefined) {
      return;
    }
    const params = this.#orderParams(targets, object);
    const order = cachedOrder(targets, params);
    yield* order.first;
    if (order.first.length < targets.entries.length) {
      order.all ??= rendezvousOrder(targets.entries, params);
      for (let at = order.first.length; at < order.all.length; at += 1) {
        yield order.all[at]!;
      }
    }
  }

  /** Sorts some targets of a service into the rendezvous order of an object. */
  sorted(
    entries: readonly T[],
    { service, object }: { service: ServiceId; object: number },
  ): readonly T[] {
    const targets = this.#services.get(service);
    return targets === undefined
      ? []
      : rendezvousOrder(entries, this.#orderParams(targets, object));
  }

  #orderParams(
    targets: ServiceTargets<T>,
    object: number,
  ): RendezvousOrderParams {
    const from = this.#from;
    targets.shares ??= homeShares({
      slots: this.#usableSlots(targets.entries),
      vms: this.#vmsByRegion,
    });
    const share = targets.shares.get(from.region) ?? 1;
    return { object, from, isHomeHere: hasHome(object, from.region, share) };
  }

  /** Slots by region, without targets that receive no new requests. */
  #usableSlots(entries: readonly T[]): ReadonlyMap<RegionId, number> {
    const slots = new Map<RegionId, number>();
    for (const { target } of entries) {
      if (!target.isLeaving && !this.#evacuated.has(target.zone)) {
        const before = slots.get(target.region) ?? 0;
        slots.set(target.region, before + target.slots);
      }
    }
    return slots;
  }

  #invalidateShares(): void {
    for (const targets of this.#services.values()) {
      targets.shares = undefined;
    }
  }
}

function cachedOrder<T extends TargetEntry>(
  { entries, orders }: ServiceTargets<T>,
  params: RendezvousOrderParams,
): CachedOrder<T> {
  const key = params.object * 2 + Number(params.isHomeHere);
  let order = orders.get(key);
  if (order === undefined) {
    if (orders.size >= MAX_CACHED_ORDERS) {
      orders.clear();
    }
    order = {
      first: firstInOrder(entries, params, INITIAL_ORDER_LENGTH),
      all: undefined,
    };
    orders.set(key, order);
  }
  return order;
}
