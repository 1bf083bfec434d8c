/**
 * The known targets with their load and health, and which of them a request may
 * use.
 *
 * @module
 */

import type { ServiceId, TargetId } from "@poplarthread/ids";
import type { PlacementRequest } from "./placement.ts";
import type { Location, SteeredTarget } from "./target.ts";
import { TargetHealth } from "./target_health.ts";
import { TargetIndex } from "./target_index.ts";
import { TargetLoad } from "./target_load.ts";
import type { TargetOwner } from "./target_owners.ts";

/** A target and what this VM knows about it. */
export interface SteeredEntry {
  target: SteeredTarget;
  readonly load: TargetLoad;
  readonly health: TargetHealth;
}

/** Entries of the known targets. */
export class TargetEntries {
  readonly #index: TargetIndex<SteeredEntry>;
  /** Target ids by hash; messages between VMs name targets by hash. */
  readonly #idsByHash = new Map<number, TargetId>();
  #evacuated: ReadonlySet<string> = new Set();

  /** `from` is the location of this VM. */
  constructor(from: Location) {
    this.#index = new TargetIndex(from);
  }

  get(id: TargetId): SteeredEntry | undefined {
    return this.#index.get(id);
  }

  /** The target whose id has the hash. */
  idOf(hash: number): TargetId | undefined {
    return this.#idsByHash.get(hash);
  }

  /** Number of known targets. */
  get size(): number {
    return this.#idsByHash.size;
  }

  /** All known targets. */
  all(): readonly SteeredEntry[] {
    return [...this.#idsByHash.values()].map((id) => this.#index.get(id)!);
  }

  /** Known targets that may get requests: neither leaving nor in an evacuated zone. */
  inService(): readonly SteeredTarget[] {
    return this.all().map(({ target }) => target)
      .filter(({ isLeaving, zone }) =>
        !isLeaving && !this.#evacuated.has(zone)
      );
  }

  /** Sets the reachable VMs, including this one. */
  setVms(vms: readonly TargetOwner[]): void {
    this.#index.setVms(vms);
  }

  /** Sets the zones whose targets receive no requests. */
  setEvacuated(zones: ReadonlySet<string>): void {
    this.#evacuated = zones;
    this.#index.setEvacuated(zones);
  }

  add(target: SteeredTarget): void {
    this.#idsByHash.set(target.hash, target.id);
    this.#index.add({
      target,
      load: new TargetLoad(),
      health: new TargetHealth(),
    });
  }

  /** Replaces the target of an entry; its location or state may have changed. */
  update(entry: SteeredEntry, target: SteeredTarget): void {
    this.#index.update(entry, target);
  }

  /** Removes a target; returns its entry if it was known. */
  remove(id: TargetId): SteeredEntry | undefined {
    const entry = this.#index.get(id);
    if (entry !== undefined) {
      this.#idsByHash.delete(entry.target.hash);
    }
    this.#index.delete(id);
    return entry;
  }

  /** Whether requests may be sent to the target now, whatever their route. */
  isInUse({ target, health }: SteeredEntry, now: number): boolean {
    return !target.isLeaving &&
      health.state === "in-use" &&
      health.backOffMs(now) === 0 &&
      !this.#evacuated.has(target.zone);
  }

  /** Whether the request may be sent to the target now. */
  isUsable(
    entry: SteeredEntry,
    request: PlacementRequest,
    now: number,
  ): boolean {
    return this.#isEligible(entry, request) &&
      entry.health.backOffMs(now) === 0 &&
      !request.tried.has(entry.target.id);
  }

  /**
   * The first `max` targets that the request may use, in the rendezvous order of
   * its object.
   */
  usable(
    request: PlacementRequest,
    now: number,
    max: number,
  ): readonly SteeredEntry[] {
    const { service, object } = request;
    if (object === undefined) {
      return this.#index.ofService(service)
        .filter((entry) => this.isUsable(entry, request, now));
    }
    const usable: SteeredEntry[] = [];
    for (const entry of this.#index.inOrder(service, object)) {
      if (this.isUsable(entry, request, now) && usable.push(entry) >= max) {
        break;
      }
    }
    return usable;
  }

  /** Sorts some targets of a service into the rendezvous order of an object. */
  sorted(
    entries: readonly SteeredEntry[],
    of: { readonly service: ServiceId; readonly object: number },
  ): readonly SteeredEntry[] {
    return this.#index.sorted(entries, of);
  }

  /**
   * Time until the earliest back-off ends, if all targets that the request may use
   * are in back-off; 0 if one of them is not, Infinity if there are none.
   */
  minBackOffMs(request: PlacementRequest, now: number): number {
    const backOffs = this.#index.ofService(request.service)
      .filter((entry) => this.#isEligible(entry, request))
      .map(({ health }) => health.backOffMs(now));
    return Math.min(...backOffs);
  }

  /**
   * Whether the target is usable apart from its back-off and from earlier attempts
   * of the request.
   */
  #isEligible(
    { target, health }: SteeredEntry,
    request: PlacementRequest,
  ): boolean {
    return !target.isLeaving &&
      health.state === "in-use" &&
      !this.#evacuated.has(target.zone) &&
      (request.regions.length === 0 || request.regions.includes(target.region));
  }
}
