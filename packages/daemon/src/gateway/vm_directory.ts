/**
 * Which VMs of the system are up, and which addresses a caller's look-up returns.
 *
 * @module
 */

import type { RegionId, VmId, ZoneId } from "@poplarthread/ids";
import {
  fallbacksFor,
  hashText,
  rankedAbove,
  relaysFor,
} from "@poplarthread/placement";
import type { TurnPlace } from "./crash_trials.ts";
import {
  countRunning,
  type KnownVm,
  ListeningClock,
  runningVms,
} from "./fleet_count.ts";
import { membersForLookup } from "./lookup_members.ts";
import type { LookupRequest, Member } from "./ports.ts";

/**
 * A VM without a heartbeat for this long counts as down: three heartbeats, so that two
 * lost datagrams in a row do not suffice.
 */
export const HEARTBEAT_TIMEOUT_MS = 3_200;
/**
 * The same for VMs of the region's other zones, known from zone reports. When a zone
 * loses its delegates, it takes up to 3.2 s to notice and one more second to report
 * again. The last reports must stay valid meanwhile, or the whole zone would seem down.
 */
const ZONE_REPORT_TIMEOUT_MS = 5_000;
/**
 * The same for VMs of other regions, which are reported less often: two reports and some
 * more. Look-ups may return a VM that is gone for up to 6 s.
 */
const REGION_REPORT_TIMEOUT_MS = 5_500;
/** Heartbeats later than this are missing: a second old at most, they come with reports each two seconds. */
const LATE_MS = 3_500;
/** Delegates of a zone: two, so that the zone does not seem down while one of them is partitioned. */
const DELEGATES_PER_ZONE = 2;
/** Addresses that one look-up returns. */
const MAX_ADDRESSES = 64;

/** A VM with the hash that it is ranked by. */
export interface RankedMember extends Member {
  /** Hash of the VM's id. */
  readonly hash: number;
}

interface Entry extends KnownVm {
  member: RankedMember;
  /** When it sent its last heartbeat, as far as this VM knows; -Infinity if it is down. */
  lastSeenAt: number;
  knownAt: number;
  upSince: number | undefined;
  isLeaving: boolean;
  /** It reaches no target, or no requests can be forwarded to it. */
  isCutOff: boolean;
  /** It lacks processor time for its callers. */
  isOverloaded: boolean;
}

/** State of one VM of a zone in reports to other zones. */
export interface VmStatus {
  readonly vm: VmId;
  /** Time since its last heartbeat. */
  readonly ageMs: number;
  readonly isLeaving: boolean;
  /** It reaches no target, or no requests can be forwarded to it; false by default. */
  readonly isCutOff?: boolean;
  /** It lacks processor time for its callers; false by default. */
  readonly isOverloaded?: boolean;
}

/** What changed about a VM. */
export type VmChange = "up" | "down" | "leaving";

/** See the module's comment. Times are milliseconds of the monotonic clock. */
export class VmDirectory {
  readonly #self: RankedMember;
  readonly #entries = new Map<VmId, Entry>();
  /** VMs that were ever known at an IP address. */
  readonly #vmsByHost = new Map<string, Set<VmId>>();
  readonly #onChange: (member: Member, change: VmChange) => void;
  readonly #clock = new ListeningClock();
  #selfLeaving = false;
  #selfServing = true;
  #selfCutOff = false;
  #selfOverloaded = false;

  constructor(options: {
    self: Member;
    onChange: (member: Member, change: VmChange) => void;
  }) {
    this.#self = withHash(options.self);
    this.#onChange = options.onChange;
  }

  /** This VM, with the hash that it is ranked by. */
  get self(): RankedMember {
    return this.#self;
  }

  /** Marks this VM as leaving. */
  leave(): void {
    this.#selfLeaving = true;
  }

  /** Sets whether this VM can serve callers: it is not up otherwise. */
  setServing(isServing: boolean): void {
    this.#selfServing = isServing;
  }

  /** Sets whether this VM reaches no target, or accepts no forwarded requests. */
  setCutOff(isCutOff: boolean): void {
    this.#selfCutOff = isCutOff;
  }

  /** Sets whether this VM lacks processor time for its callers. */
  setOverloaded(isOverloaded: boolean): void {
    this.#selfOverloaded = isOverloaded;
  }

  /** Adds the VMs that are registered in the platform's store; they may have stopped long ago. */
  addRegistered(members: readonly Member[], now: number): void {
    for (const member of members) {
      if (member.vm === this.#self.vm) {
        continue;
      }
      const known = this.#entries.get(member.vm);
      if (known === undefined) {
        this.#add({
          member: withHash(member),
          lastSeenAt: -Infinity,
          knownAt: this.#clock.at(now),
          upSince: undefined,
          isLeaving: false,
          isCutOff: false,
          isOverloaded: false,
        });
      } else if (known.lastSeenAt === -Infinity || !this.#isInZone(known)) {
        this.#add({ ...known, member: withHash(member) });
      }
    }
  }

  /** Records a heartbeat of a VM; true if the VM, or this instance of it, was not up before. */
  recordHeartbeat(
    member: Member,
    { now, isLeaving, isCutOff = false, isOverloaded = false }: {
      now: number;
      isLeaving: boolean;
      isCutOff?: boolean;
      isOverloaded?: boolean;
    },
  ): boolean {
    if (member.vm === this.#self.vm) {
      return false;
    }
    const known = this.#entries.get(member.vm);
    const wasUp = known !== undefined && this.#isAlive(known, now) &&
      known.member.instance === member.instance;
    const clockNow = this.#clock.at(now);
    this.#add({
      member: { ...member, hash: known?.member.hash ?? hashText(member.vm) },
      lastSeenAt: now,
      knownAt: clockNow,
      upSince: wasUp ? known.upSince : clockNow,
      isLeaving,
      isCutOff,
      isOverloaded,
    });
    if (isLeaving && !(known?.isLeaving && wasUp)) {
      this.#onChange(member, "leaving");
    } else if (!wasUp || (known.isLeaving && !isLeaving)) {
      this.#onChange(member, "up");
    }
    return !wasUp;
  }

  /** When another VM sent its last heartbeat; -Infinity if it is unknown or down. */
  lastSeenAt(vm: VmId): number {
    return this.#entries.get(vm)?.lastSeenAt ?? -Infinity;
  }

  /** IP address of another known VM; undefined for an unknown one. */
  hostOf(vm: VmId): string | undefined {
    const entry = this.#entries.get(vm);
    return entry && hostOf(entry.member);
  }

  /** The other VM at an IP address: the one known last, if there were several; undefined if there is none. */
  vmAt(host: string): VmId | undefined {
    const there = [...this.#vmsByHost.get(host) ?? []]
      .map((vm) => this.#entries.get(vm)!)
      .filter(({ member }) => hostOf(member) === host);
    return there.toSorted((a, b) => b.knownAt - a.knownAt)[0]?.member.vm;
  }

  #add(entry: Entry): void {
    const { member } = entry;
    const host = hostOf(member);
    const vms = this.#vmsByHost.get(host) ?? new Set();
    this.#entries.set(member.vm, entry);
    this.#vmsByHost.set(host, vms.add(member.vm));
  }

  /** Records the state of a VM from another zone's report. */
  recordStatus(
    { vm, ageMs, isLeaving, isCutOff = false, isOverloaded = false }: VmStatus,
    now: number,
  ): void {
    const known = this.#entries.get(vm);
    // A VM whose row was not read yet is skipped: it is reported again within two seconds.
    if (known === undefined || this.#isInZone(known)) {
      return;
    }
    const wasUp = this.#isAlive(known, now);
    const wasLeaving = known.isLeaving;
    // A time in the future would keep the VM up: it is not replaced by earlier ones.
    const seenAt = now - Math.max(0, ageMs);
    known.lastSeenAt = Math.max(known.lastSeenAt, seenAt);
    known.knownAt = Math.max(known.knownAt, this.#clock.at(known.lastSeenAt));
    known.isLeaving = isLeaving;
    known.isCutOff = isCutOff;
    known.isOverloaded = isOverloaded;
    if (!this.#isAlive(known, now)) {
      return;
    }
    if (!wasUp) {
      known.upSince = this.#clock.at(now);
    }
    if (isLeaving && !(wasLeaving && wasUp)) {
      this.#onChange(known.member, "leaving");
    } else if (!wasUp || (wasLeaving && !isLeaving)) {
      this.#onChange(known.member, "up");
    }
  }

  /** Marks VMs as down whose last heartbeat has become too old. */
  sweep(now: number): void {
    this.#clock.advance(now);
    for (const entry of this.#entries.values()) {
      if (entry.lastSeenAt !== -Infinity && !this.#isAlive(entry, now)) {
        entry.lastSeenAt = -Infinity;
        this.#onChange(entry.member, "down");
      }
    }
  }

  /** All other known VMs of the zone, up or not. */
  zonePeers(): readonly Member[] {
    return [...this.#entries.values()].filter((entry) => this.#isInZone(entry))
      .map(({ member }) => member);
  }

  /** VMs of other zones to which this VM sends zone reports: all if it is a delegate, else none. */
  reportRecipients(now: number): readonly Member[] {
    return this.isZoneDelegate(now) ? this.#membersOfOtherZones() : [];
  }

  /** Whether this VM is a delegate of its zone: one of the two that rank highest. */
  isZoneDelegate(now: number): boolean {
    return this.#rankInZone(now) < DELEGATES_PER_ZONE;
  }

  /**
   * VMs of the region's other zones, if this VM ranks highest in its zone. Other regions
   * get no warm-target updates: they use targets in an order of their own, so the updates
   * would not help them, and traffic between regions is expensive.
   */
  warmRecipients(now: number): readonly Member[] {
    return this.#rankInZone(now) > 0
      ? []
      : this.#membersOfOtherZones().filter(({ region }) =>
        region === this.#self.region
      );
  }

  /** Number of VMs of the zone that are up and rank above this one. */
  #rankInZone(now: number): number {
    const ofZone = this.up(now).filter(({ zone }) => zone === this.#self.zone);
    return rankedAbove(this.#self, ofZone).length;
  }

  #membersOfOtherZones(): readonly Member[] {
    return [...this.#entries.values()].filter((entry) => !this.#isInZone(entry))
      .map(({ member }) => member);
  }

  /** VMs of the zone that are up or leaving, including this one. */
  zoneVmStatuses(now: number): readonly VmStatus[] {
    const statuses: VmStatus[] = [{
      vm: this.#self.vm,
      ageMs: 0,
      isLeaving: this.#selfLeaving,
      isCutOff: this.#selfCutOff,
      isOverloaded: this.#selfOverloaded,
    }];
    for (const entry of this.#entries.values()) {
      if (this.#isInZone(entry) && this.#isAlive(entry, now)) {
        statuses.push({
          vm: entry.member.vm,
          ageMs: Math.round(now - entry.lastSeenAt),
          isLeaving: entry.isLeaving,
          isCutOff: entry.isCutOff,
          isOverloaded: entry.isOverloaded,
        });
      }
    }
    return statuses;
  }

  /** Number of VMs that share the fleet's limits, including this one. */
  fleetSize(now: number): number {
    return 1 + this.#mayBeRunning(now).length;
  }

  /** This VM's place when all VMs that may be running take turns. */
  placeInTurns(now: number): TurnPlace {
    const others = this.#mayBeRunning(now);
    const before = others.filter(({ member }) => member.vm < this.#self.vm);
    return { position: before.length, vms: others.length + 1 };
  }

  /** Number of other VMs that may be running and that this one does not hear of, some of which still count as up. */
  silentVms(now: number): number {
    return this.#mayBeRunning(now)
      .filter(({ lastSeenAt }) => now - lastSeenAt > LATE_MS).length;
  }

  /** Other VMs that may be running: silence alone is no evidence of an end. */
  #mayBeRunning(now: number): readonly Entry[] {
    return runningVms([...this.#entries.values()], {
      now: this.#clock.at(now),
      heardZones: this.#heardZones(now),
      isZoneTrusted: false,
    });
  }

  /** Zones that this VM has heard of for long enough to know all their VMs that are up; its own one if it hears of any. */
  #heardZones(now: number): ReadonlySet<ZoneId> {
    const zones = new Set<ZoneId>();
    const since = this.#clock.at(now) - REGION_REPORT_TIMEOUT_MS;
    for (const entry of this.#entries.values()) {
      const { upSince = Infinity } = entry;
      if (upSince <= since && this.#isAlive(entry, now)) {
        zones.add(entry.member.zone);
      }
    }
    return zones.size === 0 ? zones : zones.add(this.#self.zone);
  }

  /** VMs of the region that are up, including this one. */
  upInRegion(now: number): readonly RankedMember[] {
    return this.up(now).filter(({ region }) => region === this.#self.region);
  }

  /** VMs that are up, one list for each other region. */
  upInOtherRegions(now: number): readonly (readonly RankedMember[])[] {
    const regions = new Map<RegionId, RankedMember[]>();
    for (const vm of this.up(now)) {
      if (vm.region !== this.#self.region) {
        regions.set(vm.region, [...(regions.get(vm.region) ?? []), vm]);
      }
    }
    return [...regions.values()];
  }

  /**
   * Number of VMs of the region that share its limits, including this one. One that its
   * zone does not hear of is left out: the limits of a region are divided by few VMs, so
   * that the loss of one would be felt for hours.
   */
  knownInRegion(now: number): number {
    const ofRegion = [...this.#entries.values()].filter(({ member }) =>
      member.region === this.#self.region
    );
    return 1 + countRunning(ofRegion, {
      now: this.#clock.at(now),
      heardZones: this.#heardZones(now),
      isZoneTrusted: true,
    });
  }

  /** VMs that are up, including this one unless it is leaving or cannot serve callers. */
  up(now: number): readonly RankedMember[] {
    const up = this.#selfLeaving || !this.#selfServing ? [] : [this.#self];
    for (const entry of this.#entries.values()) {
      if (!entry.isLeaving && this.#isAlive(entry, now)) {
        up.push(entry.member);
      }
    }
    return up;
  }

  /** VMs to query for the store's changes in place of the store, best first, without those in `excluded`. */
  relays(
    now: number,
    excluded: ReadonlySet<VmId> = new Set(),
  ): readonly Member[] {
    const up = this.up(now).filter(({ vm }) => !excluded.has(vm));
    return relaysFor(this.#self, up);
  }

  /** VMs to query if neither the store nor those of {@link relays} respond, best first. */
  fallbacks(now: number): readonly Member[] {
    return fallbacksFor(this.#self, this.up(now));
  }

  /** Other VMs that are up, reach targets and accept forwarded requests. */
  peersWithTargets(now: number): readonly Member[] {
    return this.up(now).filter(({ vm }) =>
      vm !== this.#self.vm && !this.#isCutOff(vm)
    );
  }

  /** Addresses for a caller; see {@link membersForLookup}. */
  addressesFor(request: LookupRequest, now: number): readonly string[] {
    return membersForLookup(this.up(now), request.region, {
      isCutOff: (vm) => this.#isCutOff(vm),
      isOverloaded: (vm) => this.#isOverloaded(vm),
    }).slice(0, MAX_ADDRESSES).map(({ callerAddress }) => callerAddress);
  }

  #isCutOff(vm: VmId): boolean {
    return vm === this.#self.vm
      ? this.#selfCutOff
      : this.#entries.get(vm)?.isCutOff ?? false;
  }

  #isOverloaded(vm: VmId): boolean {
    return vm === this.#self.vm
      ? this.#selfOverloaded
      : this.#entries.get(vm)?.isOverloaded ?? false;
  }

  #isInZone({ member }: Entry): boolean {
    return member.zone === this.#self.zone;
  }

  #isAlive(entry: Entry, now: number): boolean {
    return now - entry.lastSeenAt < this.#timeoutMs(entry);
  }

  /** Time after its last heartbeat at which a VM counts as down. */
  #timeoutMs(entry: Entry): number {
    if (this.#isInZone(entry)) {
      return HEARTBEAT_TIMEOUT_MS;
    }
    return entry.member.region === this.#self.region
      ? ZONE_REPORT_TIMEOUT_MS
      : REGION_REPORT_TIMEOUT_MS;
  }
}

function hostOf({ peerAddress }: Member): string {
  return peerAddress.split(":")[0]!;
}

function withHash(member: Member): RankedMember {
  return { ...member, hash: hashText(member.vm) };
}
