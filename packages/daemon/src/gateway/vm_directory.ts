/**
 * Which VMs of the system are up, and which of them a caller is told to use.
 *
 * @module
 */

import type { RegionId, VmId } from "@poplarthread/ids";
import {
  fallbacksFor,
  hashText,
  rankedAbove,
  relaysFor,
} from "@poplarthread/placement";
import type { LookupQuestion, Member } from "./ports.ts";

/**
 * A VM that was not heard for this long is not named any more, in milliseconds:
 * three heartbeats, so that two lost datagrams in a row do not take a VM out.
 */
const HEARD_WITHIN_MS = 3_200;
/**
 * The same for VMs of other zones, of which reports tell, in milliseconds: after
 * the loss of the VMs that report, their zone takes up to 3.2 s to notice, and one
 * more to report again. Meanwhile their word must hold, or a whole zone would seem
 * down.
 */
const REPORTED_WITHIN_MS = 5_000;
/**
 * The same for VMs of other regions, which are told of less often, in milliseconds:
 * two reports. A VM that is gone may be named for 6 s.
 */
const REPORTED_FAR_WITHIN_MS = 5_500;
/**
 * VMs count as part of the fleet this long after they were last heard, in
 * milliseconds. Limits that all VMs share are divided by their number: those
 * behind a cut use their part, too, and so do those that are not heard yet.
 */
const FLEET_MEMORY_MS = 20_000;
/** VMs of a zone that report: two, so that the zone does not seem down while one of them is cut off. */
const REPORTING = 2;
/** Fewer VMs than this in a caller's region, and it is told those of other regions too: it needs one to go to when another fails. */
const LEAST_NEAR = 2;
/** Most addresses in an answer. */
const MOST_ADDRESSES = 64;

/** A VM with what it is ranked by. */
export interface RankedMember extends Member {
  /** Hash of its name. */
  readonly hash: number;
}

interface Entry {
  member: RankedMember;
  /** When it last gave word of itself, as far as this VM knows. */
  heardAt: number;
  /** When it was heard or listed. */
  knownAt: number;
  isLeaving: boolean;
}

/** What a VM tells other zones of one VM of its own. */
export interface VmSighting {
  readonly vm: VmId;
  /** Time since it gave word of itself, in milliseconds. */
  readonly ageMs: number;
  readonly isLeaving: boolean;
}

/** What changed about a VM. */
export type VmChange = "up" | "down" | "leaving";

/** See the module's comment. Times are milliseconds of the monotonic clock. */
export class VmDirectory {
  readonly #self: RankedMember;
  readonly #entries = new Map<VmId, Entry>();
  readonly #onChange: (member: Member, change: VmChange) => void;
  #selfLeaving = false;

  constructor(options: {
    self: Member;
    onChange: (member: Member, change: VmChange) => void;
  }) {
    this.#self = ranked(options.self);
    this.#onChange = options.onChange;
  }

  /** This VM, with what it is ranked by. */
  get self(): RankedMember {
    return this.#self;
  }

  /** This VM leaves. */
  leave(): void {
    this.#selfLeaving = true;
  }

  /** Members as the platform's store has them; they may be long gone. */
  listed(members: readonly Member[], now: number): void {
    for (const member of members) {
      if (member.vm === this.#self.vm) {
        continue;
      }
      const known = this.#entries.get(member.vm);
      if (known === undefined) {
        this.#entries.set(member.vm, {
          member: ranked(member),
          heardAt: -Infinity,
          knownAt: now,
          isLeaving: false,
        });
      } else if (known.heardAt === -Infinity || !this.#isNear(known)) {
        known.member = ranked(member);
      }
    }
  }

  /** A VM gave word of itself; true if it was not taken to be up. */
  heard(member: Member, { now, isLeaving }: {
    now: number;
    isLeaving: boolean;
  }): boolean {
    if (member.vm === this.#self.vm) {
      return false;
    }
    const known = this.#entries.get(member.vm);
    const wasUp = known !== undefined && this.#isHeard(known, now) &&
      known.member.instance === member.instance;
    this.#entries.set(member.vm, {
      member: ranked(member),
      heardAt: now,
      knownAt: now,
      isLeaving,
    });
    if (isLeaving && !(known?.isLeaving && wasUp)) {
      this.#onChange(member, "leaving");
    } else if (!wasUp) {
      this.#onChange(member, "up");
    }
    return !wasUp;
  }

  /** Another zone reports one of its VMs. */
  sighted({ vm, ageMs, isLeaving }: VmSighting, now: number): void {
    const known = this.#entries.get(vm);
    // A VM whose row was not read yet is reported again within a second.
    if (known === undefined || this.#isNear(known)) {
      return;
    }
    const wasUp = this.#isHeard(known, now);
    const wasLeaving = known.isLeaving;
    known.heardAt = Math.max(known.heardAt, now - ageMs);
    known.knownAt = Math.max(known.knownAt, known.heardAt);
    known.isLeaving = isLeaving;
    if (!this.#isHeard(known, now)) {
      return;
    }
    if (isLeaving && !(wasLeaving && wasUp)) {
      this.#onChange(known.member, "leaving");
    } else if (!wasUp || (wasLeaving && !isLeaving)) {
      this.#onChange(known.member, "up");
    }
  }

  /** Reports VMs that have fallen silent since the last call. */
  sweep(now: number): void {
    for (const entry of this.#entries.values()) {
      if (entry.heardAt !== -Infinity && !this.#isHeard(entry, now)) {
        entry.heardAt = -Infinity;
        this.#onChange(entry.member, "down");
      }
    }
  }

  /** All other VMs of the zone that were ever known, up or not. */
  near(): readonly Member[] {
    return [...this.#entries.values()].filter((entry) => this.#isNear(entry))
      .map(({ member }) => member);
  }

  /**
   * VMs of other zones to which this VM reports: all, if it is one of the first of
   * its zone.
   */
  far(now: number): readonly Member[] {
    return this.reports(now) ? this.#otherZones() : [];
  }

  /** Whether this VM is one of those of its zone that report. */
  reports(now: number): boolean {
    return this.#aboveInZone(now) < REPORTING;
  }

  /**
   * VMs of the region's other zones, if this VM is the first of its zone. Other
   * regions use targets in an order of their own, so that news of warm targets
   * serve nobody better there, and bytes between regions are dear.
   */
  spokenTo(now: number): readonly Member[] {
    return this.#aboveInZone(now) > 0
      ? []
      : this.#otherZones().filter(({ region }) => region === this.#self.region);
  }

  /** How many VMs of the zone that are up rank above this one. */
  #aboveInZone(now: number): number {
    const ofZone = this.up(now).filter(({ zone }) => zone === this.#self.zone);
    return rankedAbove(this.#self, ofZone).length;
  }

  #otherZones(): readonly Member[] {
    return [...this.#entries.values()].filter((entry) => !this.#isNear(entry))
      .map(({ member }) => member);
  }

  /** VMs of the zone that are up or leaving, this one among them. */
  sightings(now: number): readonly VmSighting[] {
    const sightings: VmSighting[] = [{
      vm: this.#self.vm,
      ageMs: 0,
      isLeaving: this.#selfLeaving,
    }];
    for (const entry of this.#entries.values()) {
      if (this.#isNear(entry) && this.#isHeard(entry, now)) {
        sightings.push({
          vm: entry.member.vm,
          ageMs: Math.round(now - entry.heardAt),
          isLeaving: entry.isLeaving,
        });
      }
    }
    return sightings;
  }

  /** VMs that share the fleet's limits, this one among them. */
  fleetSize(now: number): number {
    return 1 + [...this.#entries.values()]
      .filter(({ knownAt }) => now - knownAt < FLEET_MEMORY_MS).length;
  }

  /** VMs of the region that are up, this one among them. */
  upInRegion(now: number): readonly RankedMember[] {
    return this.up(now).filter(({ region }) => region === this.#self.region);
  }

  /** VMs that are up of each other region. */
  upInOtherRegions(now: number): readonly (readonly RankedMember[])[] {
    const regions = new Map<RegionId, RankedMember[]>();
    for (const vm of this.up(now)) {
      if (vm.region !== this.#self.region) {
        regions.set(vm.region, [...(regions.get(vm.region) ?? []), vm]);
      }
    }
    return [...regions.values()];
  }

  /** VMs of the region that share its limits, this one among them: those that are up, or were lately. */
  knownInRegion(now: number): number {
    return 1 +
      [...this.#entries.values()].filter(({ member, knownAt }) =>
        member.region === this.#self.region && now - knownAt < FLEET_MEMORY_MS
      ).length;
  }

  /** VMs that are up, this one among them. */
  up(now: number): readonly RankedMember[] {
    const up = this.#selfLeaving ? [] : [this.#self];
    for (const entry of this.#entries.values()) {
      if (!entry.isLeaving && this.#isHeard(entry, now)) {
        up.push(entry.member);
      }
    }
    return up;
  }

  /** VMs to ask for the store's news in place of the store, best first, without those in `except`. */
  relays(
    now: number,
    except: ReadonlySet<VmId> = new Set(),
  ): readonly Member[] {
    const up = this.up(now).filter(({ vm }) => !except.has(vm));
    return relaysFor(this.#self, up);
  }

  /** VMs to ask where neither the store nor those of {@link relays} tell anything, best first. */
  fallbacks(now: number): readonly Member[] {
    return fallbacksFor(this.#self, this.up(now));
  }

  /** Addresses for a caller, those of its region where there are enough. */
  addressesFor(question: LookupQuestion, now: number): readonly string[] {
    const up = this.up(now);
    const near = up.filter(({ region }) => region === question.region);
    const told = near.length >= LEAST_NEAR ? near : up;
    return told.slice(0, MOST_ADDRESSES)
      .map(({ callerAddress }) => callerAddress);
  }

  #isNear({ member }: Entry): boolean {
    return member.zone === this.#self.zone;
  }

  #isHeard(entry: Entry, now: number): boolean {
    return now - entry.heardAt < this.#heldMs(entry);
  }

  /** How long the last word of a VM holds, in milliseconds. */
  #heldMs(entry: Entry): number {
    if (this.#isNear(entry)) {
      return HEARD_WITHIN_MS;
    }
    return entry.member.region === this.#self.region
      ? REPORTED_WITHIN_MS
      : REPORTED_FAR_WITHIN_MS;
  }
}

function ranked(member: Member): RankedMember {
  return { ...member, hash: hashText(member.vm) };
}
