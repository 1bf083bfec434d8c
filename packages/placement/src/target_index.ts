/**
 * The targets of a VM by service, with what is computed from all of them.
 *
 * Answers large fleets on days of change. With hundreds of targets and VMs, some of
 * them come, leave or start anew every few hundred milliseconds. Computed anew for
 * each such change, orders and shares took a VM's processor from the requests at
 * the very moments at which these needed it; so each change throws away only what
 * hangs on it, and what is thrown away is computed when a request needs it.
 *
 * @module
 */

import type { RegionId, ServiceId, TargetId } from "@poplarthread/ids";
import {
  agreedOrder,
  type AgreedOrderBasis,
  firstOfOrder,
  hasHome,
} from "./agreed_order.ts";
import { homeShares } from "./home_shares.ts";
import type { Place, SteeredTarget } from "./target.ts";

/** What is indexed: it has a target, which may be another one later. */
export interface TargetHolder {
  target: SteeredTarget;
}

/** An order as far as it was needed. */
interface KeptOrder<T> {
  readonly first: readonly T[];
  all: readonly T[] | undefined;
}

/** The targets of one service. */
class ServiceTargets<T> {
  readonly holders: T[] = [];
  /** By object, and whether it has a home in this VM's region. */
  readonly orders = new Map<number, KeptOrder<T>>();
  /** Undefined until a request needs them. */
  shares: ReadonlyMap<RegionId, number> | undefined;
}

/** Targets of an order that are found before all are sorted: those that a request usually weighs, and some that it may not use. */
const FOUND_FIRST = 24;
/** Orders that are kept for each service; beyond it all are computed anew. One of 700 targets takes 6 kB. */
const MOST_ORDERS = 1_500;

/** See the module's comment. */
export class TargetIndex<T extends TargetHolder> {
  readonly #from: Place;
  readonly #holders = new Map<TargetId, T>();
  readonly #services = new Map<ServiceId, ServiceTargets<T>>();
  #vmsByRegion: ReadonlyMap<RegionId, number> = new Map();
  #evacuated: ReadonlySet<string> = new Set();

  /** `from` is where this VM is. */
  constructor(from: Place) {
    this.#from = from;
  }

  get(id: TargetId): T | undefined {
    return this.#holders.get(id);
  }

  /** The VMs that take part. */
  setVms(vms: readonly { readonly region: RegionId }[]): void {
    const counts = new Map<RegionId, number>();
    for (const { region } of vms) {
      counts.set(region, (counts.get(region) ?? 0) + 1);
    }
    this.#vmsByRegion = counts;
    this.#forgetShares();
  }

  /** Zones whose targets get nothing. */
  setEvacuated(zones: ReadonlySet<string>): void {
    this.#evacuated = zones;
    this.#forgetShares();
  }

  add(holder: T): void {
    const { id, service } = holder.target;
    this.#holders.set(id, holder);
    const targets = this.#services.get(service) ?? new ServiceTargets<T>();
    this.#services.set(service, targets);
    targets.holders.push(holder);
    targets.orders.clear();
    targets.shares = undefined;
  }

  /** A target is another one under the same id: its service, place or state may have changed. */
  update(holder: T, target: SteeredTarget): void {
    const before = holder.target;
    if (before.service !== target.service || before.region !== target.region) {
      this.delete(target.id);
      holder.target = target;
      this.add(holder);
      return;
    }
    holder.target = target;
    this.#services.get(target.service)!.shares = undefined;
  }

  delete(id: TargetId): void {
    const holder = this.#holders.get(id);
    if (holder === undefined) {
      return;
    }
    this.#holders.delete(id);
    const targets = this.#services.get(holder.target.service)!;
    targets.holders.splice(targets.holders.indexOf(holder), 1);
    targets.orders.clear();
    targets.shares = undefined;
  }

  /** The targets of a service, in no order. */
  ofService(service: ServiceId): readonly T[] {
    return this.#services.get(service)?.holders ?? [];
  }

  /** The targets of a service in the agreed order of an object. */
  *inOrder(service: ServiceId, object: number): Iterable<T> {
    const targets = this.#services.get(service);
    if (targets === undefined) {
      return;
    }
    const basis = this.#basis(targets, object);
    const order = keptOrder(targets, basis);
    yield* order.first;
    if (order.first.length < targets.holders.length) {
      order.all ??= agreedOrder(targets.holders, basis);
      for (let at = order.first.length; at < order.all.length; at += 1) {
        yield order.all[at]!;
      }
    }
  }

  /** Some targets of a service in the agreed order of an object. */
  sorted(
    some: readonly T[],
    { service, object }: { service: ServiceId; object: number },
  ): readonly T[] {
    const targets = this.#services.get(service);
    return targets === undefined
      ? []
      : agreedOrder(some, this.#basis(targets, object));
  }

  #basis(targets: ServiceTargets<T>, object: number): AgreedOrderBasis {
    const from = this.#from;
    targets.shares ??= homeShares({
      slots: this.#usableSlots(targets.holders),
      vms: this.#vmsByRegion,
    });
    const share = targets.shares.get(from.region) ?? 1;
    return { object, from, isHomeHere: hasHome(object, from.region, share) };
  }

  /** Slots by region, without those of targets that get nothing new. */
  #usableSlots(holders: readonly T[]): ReadonlyMap<RegionId, number> {
    const slots = new Map<RegionId, number>();
    for (const { target } of holders) {
      if (!target.leaving && !this.#evacuated.has(target.zone)) {
        const before = slots.get(target.region) ?? 0;
        slots.set(target.region, before + target.slots);
      }
    }
    return slots;
  }

  #forgetShares(): void {
    for (const targets of this.#services.values()) {
      targets.shares = undefined;
    }
  }
}

function keptOrder<T extends TargetHolder>(
  { holders, orders }: ServiceTargets<T>,
  basis: AgreedOrderBasis,
): KeptOrder<T> {
  const key = basis.object * 2 + Number(basis.isHomeHere);
  let order = orders.get(key);
  if (order === undefined) {
    if (orders.size >= MOST_ORDERS) {
      orders.clear();
    }
    order = {
      first: firstOfOrder(holders, basis, FOUND_FIRST),
      all: undefined,
    };
    orders.set(key, order);
  }
  return order;
}
