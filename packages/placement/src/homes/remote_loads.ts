/**
 * The load that objects of other regions put on targets, from their owners'
 * summaries.
 *
 * @module
 */

import type { RegionId } from "@poplarthread/ids";
import type { TargetShare } from "./messages.ts";

/** A load counts until it has not been confirmed for two full summaries. */
const LOAD_TTL_MS = 12_000;
/**
 * Until a region's summaries have come for this long, it counts by its number of VMs:
 * a full one may be missing, and after a start they lag behind its load.
 */
const SETTLE_MS = 6_000;

/** The load of one region on one target. */
interface RemoteLoad {
  readonly busySlots: number;
  readonly heardAt: number;
}

/** The loads of one region. */
interface RegionLoads {
  readonly heardSince: number;
  heardAt: number;
  readonly byTarget: Map<number, RemoteLoad>;
}

/** See the module comment. Times are milliseconds of the monotonic clock. */
export class RemoteLoads {
  readonly #regions = new Map<RegionId, RegionLoads>();
  readonly #slots = new Map<number, number>();
  #vms: ReadonlyMap<RegionId, number> = new Map();

  /** Sets the numbers of VMs by region. */
  setVms(vms: ReadonlyMap<RegionId, number>): void {
    this.#vms = vms;
  }

  /** Records a region's loads; targets that are not listed keep theirs. */
  set(region: RegionId, loads: readonly TargetShare[], now: number): void {
    const known: RegionLoads = this.#regions.get(region) ??
      { heardSince: now, heardAt: now, byTarget: new Map() };
    known.heardAt = now;
    this.#regions.set(region, known);
    for (const { target, busySlots } of loads) {
      const before = known.byTarget.get(target)?.busySlots ?? 0;
      known.byTarget.set(target, { busySlots, heardAt: now });
      this.#add(target, busySlots - before);
    }
  }

  /** Removes loads that were not confirmed for a while. */
  expire(now: number): void {
    for (
      const [region, { byTarget, heardAt: regionHeardAt }] of this.#regions
    ) {
      for (const [target, { busySlots, heardAt }] of byTarget) {
        if (now - heardAt >= LOAD_TTL_MS) {
          byTarget.delete(target);
          this.#add(target, -busySlots);
        }
      }
      if (now - regionHeardAt >= LOAD_TTL_MS) {
        this.#regions.delete(region);
      }
    }
  }

  /** Slots that all other regions keep busy on a target. */
  slotsOn(target: number): number {
    return this.#slots.get(target) ?? 0;
  }

  /**
   * Slots that regions whose summaries are not settled yet probably keep busy beyond
   * what is known: as many for each of their VMs as `ownSlots` are for this region's.
   */
  expectedSlots(ownSlots: number, ownRegion: RegionId): number {
    const ownVms = Math.max(1, this.#vms.get(ownRegion) ?? 0);
    let expected = 0;
    for (const [region, vms] of this.#vms) {
      if (region !== ownRegion && !this.#isSettled(region)) {
        expected += Math.max(
          0,
          ownSlots * vms / ownVms - this.#heardSlots(region),
        );
      }
    }
    return expected;
  }

  #isSettled(region: RegionId): boolean {
    const known = this.#regions.get(region);
    return known !== undefined && known.heardAt - known.heardSince >= SETTLE_MS;
  }

  #heardSlots(region: RegionId): number {
    let heard = 0;
    for (
      const { busySlots } of this.#regions.get(region)?.byTarget.values() ?? []
    ) {
      heard += busySlots;
    }
    return heard;
  }

  #add(target: number, busySlots: number): void {
    const slots = this.slotsOn(target) + busySlots;
    if (slots > 1e-9) {
      this.#slots.set(target, slots);
    } else {
      this.#slots.delete(target);
    }
  }
}
