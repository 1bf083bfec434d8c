/**
 * The part of one VM in assigning and following homes of objects, without sockets:
 * messages and ticks go in, messages to send come out.
 *
 * @module
 */

import type { RegionId, ServiceId, VmId } from "@poplarthread/ids";
import type { TargetOwner } from "../target_owners.ts";
import type { HomeSource } from "./home_source.ts";
import type {
  HomeMessage,
  ObservedLoad,
  OwnerTerm,
  PriorityDemand,
  RoomShare,
} from "./messages.ts";

/** Interval at which {@link HomeAgent.tick} must be called. */
export const HOME_TICK_MS = 100;

/** A target that can be a home. */
export interface HomeTarget {
  /** Hash of its id. */
  readonly hash: number;
  readonly region: RegionId;
  readonly slots: number;
  /** Start of its current run; a change means that it has lost its cache. */
  readonly startedAt: number;
}

/** A message to send to another VM. */
export interface OutgoingHomeMessage {
  readonly to: VmId;
  readonly message: HomeMessage;
}

/** What this VM has assigned as the owner of a service's homes. */
export interface OwnedHomes {
  readonly service: ServiceId;
  readonly term: OwnerTerm;
  /** Objects that have homes. */
  readonly objects: number;
  readonly homes: number;
  /** Load of the busiest target, as a multiple of the mean; 1 without any load. */
  readonly peakLoad: number;
  /** Homes moved so far in this term. */
  readonly moved: number;
}

/** Counters for metrics, since the start. */
export interface HomeCounts {
  /** Homes assigned, added, moved and dropped by this VM as an owner. */
  readonly assigned: number;
  readonly added: number;
  readonly moved: number;
  readonly dropped: number;
  /** Queries of this VM that got no answer in time. */
  readonly unanswered: number;
}

/** What the callers of a region ask of a service, and what it can do for them. */
export interface ServiceDemand {
  /** Time that the demand covers, in milliseconds. */
  readonly spanMs: number;
  /** Demand of all VMs of the region, the most urgent priority first. */
  readonly priorities: readonly PriorityDemand[];
  /** Slots of the region's targets, over their mean pace. */
  readonly capacity: number;
  /** How many of them are kept busy, also by other regions' callers. */
  readonly busySlots: number;
}

/** Options of a {@link HomeAgent}. */
export interface HomeAgentOptions {
  readonly self: TargetOwner;
  /** Limit of a target's load, as a multiple of the mean load. */
  readonly bound?: number;
  /** Computes the room that this VM, as an owner, tells the others of; none by default. */
  roomOf?(service: ServiceId, demand: ServiceDemand): readonly RoomShare[];
  /** Creates the name of a new term. */
  newTerm(): string;
  /** Called when queries or other messages wait to be sent before the next tick. */
  onOutgoing(): void;
  /** Called when homes that requests wait for have become known, or are not going to be. */
  onHomes(service: ServiceId): void;
  /** Called with the loads of targets that VMs of the region have just observed. */
  onLoads?(service: ServiceId, loads: readonly ObservedLoad[]): void;
  /** Called when this VM becomes the owner of a service in its region, or stops being it. */
  onOwnership(service: ServiceId, isOwner: boolean): void;
}

/** See the module comment. Times are milliseconds of the monotonic clock. */
export interface HomeAgent {
  readonly source: HomeSource;
  readonly counts: HomeCounts;
  /** The services whose homes this VM owns. */
  owned(): readonly OwnedHomes[];
  /** Sets the reachable VMs, including this one unless it is leaving. */
  setVms(vms: readonly TargetOwner[], now: number): void;
  /**
   * Sets the targets of all services whose objects get homes by load, without those
   * that are leaving or evacuated. Other services are unassigned.
   */
  setTargets(
    services: ReadonlyMap<ServiceId, readonly HomeTarget[]>,
    now: number,
  ): void;
  receive(message: HomeMessage, from: VmId, now: number): void;
  /** Periodic work; see {@link HOME_TICK_MS}. */
  tick(now: number): void;
  /** Removes and returns the messages to send. */
  takeOutgoing(now: number): readonly OutgoingHomeMessage[];
  /** Hashes of all targets that are homes of objects in use in this VM's region. */
  homes(): ReadonlySet<number>;
  /** What the owner last said of the service's room; empty if it has room for all. */
  roomOf(service: ServiceId, now: number): readonly RoomShare[];
}
