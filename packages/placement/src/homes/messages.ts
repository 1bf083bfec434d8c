/**
 * Messages between VMs about homes of objects.
 *
 * In each region one VM, the owner, assigns the homes of a service's objects. The
 * other VMs query it, report to it what their callers ask for, and follow its
 * updates. Owners of different regions exchange summaries. Any message may be lost,
 * delayed or repeated.
 *
 * @module
 */

import type { RegionId, ServiceId } from "@poplarthread/ids";

/** Identifies one term of an owner: random, new each time a VM becomes an owner. */
export type OwnerTerm = string & { readonly OwnerTerm: unique symbol };

/** Homes of an object, the preferred one first. Targets are named by the hash of their id. */
export interface ObjectHomes {
  readonly object: number;
  readonly targets: readonly number[];
}

/** Request for the homes of an object. */
export interface HomeQuery {
  readonly object: number;
  /** Time that a warm target takes for a request on the object, in milliseconds. */
  readonly workMs: number;
  /** "another" if the known homes are too busy: the object should get one more. */
  readonly wanted: "any" | "another";
}

/** What callers asked of one VM for an object since its last report. */
export interface ObjectDemand extends ObjectHomes {
  readonly requests: number;
  /** Time that a warm target takes for one of them, in milliseconds. */
  readonly workMs: number;
}

/** What callers asked of one VM at one priority since its last report. */
export interface PriorityDemand {
  /** Priority rank; 0 is the most urgent. */
  readonly priority: number;
  readonly requests: number;
  /** Requests that this VM refused for lack of room. */
  readonly refused: number;
  /** Mean time that a warm target takes for one of them, in milliseconds. */
  readonly workMs: number;
}

/** What one VM observed of a target since its last report. */
export interface TargetObservation {
  readonly target: number;
  /** Mean time that work takes there, as a multiple of the usual time; undefined if the target doesn't state it. */
  readonly pace: number | undefined;
  /** Requests that it responded to. */
  readonly requests: number;
}

/** A VM's regular report to the owner. */
export interface DemandReport {
  /** Grows with each report of the VM, so that a repeated one is not counted again. */
  readonly number: number;
  /** Time that the report covers, in milliseconds. */
  readonly spanMs: number;
  /** The term and sequence number of the owner's updates that the VM has applied. */
  readonly term: OwnerTerm | undefined;
  readonly sequence: number;
  /** Whether the objects include all that the VM knew before this term, with their homes then. */
  readonly namesEarlierHomes: boolean;
  /** Objects in use. */
  readonly objects: readonly ObjectDemand[];
  readonly priorities: readonly PriorityDemand[];
  readonly targets: readonly TargetObservation[];
}

/** How much of the demand at one priority the service has room for. */
export interface RoomShare {
  readonly priority: number;
  /** Share of the requests that may be served, 0 to 1. */
  readonly admitted: number;
  /** When refused callers find room again, in milliseconds from now. */
  readonly returnMs: number;
}

/** Load that a region's objects put on a target. */
export interface TargetShare {
  readonly target: number;
  /** Slots that the work keeps busy on average. */
  readonly busySlots: number;
}

/** The load of a target, as it reported it to some VM. */
export interface ObservedLoad {
  readonly target: number;
  /** Requests that run or wait there. */
  readonly requests: number;
  /** How long work takes there, as a multiple of the usual time; undefined if it doesn't state it. */
  readonly pace: number | undefined;
}

/** A message about one service's homes. */
export type HomeMessage =
  | {
    readonly kind: "query";
    readonly service: ServiceId;
    readonly queries: readonly HomeQuery[];
  }
  /** From the owner. Its updates are numbered; each holds all homes changed since the one before, an answer to a query only those asked for. */
  | {
    readonly kind: "update";
    readonly service: ServiceId;
    readonly term: OwnerTerm;
    /** Undefined in an answer to a query. */
    readonly sequence: number | undefined;
    /** The sequence number after which `homes` has all changes. */
    readonly after: number;
    readonly homes: readonly ObjectHomes[];
    readonly room: readonly RoomShare[];
  }
  | {
    readonly kind: "report";
    readonly service: ServiceId;
    readonly report: DemandReport;
  }
  /** Loads that have just been observed: from a VM to the owner, and from the owner to the VMs of the region. */
  | {
    readonly kind: "loads";
    readonly service: ServiceId;
    readonly loads: readonly ObservedLoad[];
  }
  /** From the owner of one region to that of another. */
  | {
    readonly kind: "summary";
    readonly service: ServiceId;
    readonly region: RegionId;
    readonly loads: readonly TargetShare[];
  };
