/**
 * The homes of objects as steering uses them.
 *
 * @module
 */

import type { ServiceId } from "@poplarthread/ids";

/** A request whose object may have homes. */
export interface HomeRequest {
  readonly service: ServiceId;
  readonly object: number;
  /** Time that a warm target takes for it, in milliseconds. */
  readonly workMs: number;
}

/** What a VM knows of the homes of an object. */
export type HomesLookup =
  /** Objects of this service have no assigned homes: their home follows from the rendezvous order. */
  | { readonly kind: "unassigned" }
  /** The owner has been asked; its answer is due by `until`. */
  | { readonly kind: "pending"; readonly until: number }
  /**
   * Target hashes, the preferred home first. `askedElsewhereAt` is when this VM learned
   * that another one had just asked for the object, whose request then warms the home.
   */
  | {
    readonly kind: "assigned";
    readonly targets: readonly number[];
    readonly askedElsewhereAt?: number | undefined;
  };

/** Source of homes; see the module comment. Times are milliseconds of the monotonic clock. */
export interface HomeSource {
  /** Whether the service's objects get homes by load. */
  has(service: ServiceId): boolean;
  /** The homes of a request's object; asks the owner if they are not known. */
  lookUp(request: HomeRequest, now: number): HomesLookup;
  /** Asks for one more home, because the request would wait too long at all of them. */
  requestAnother(request: HomeRequest, now: number): void;
  /** Records that a caller's request for the object has arrived. */
  recordDemand(request: HomeRequest, priority: number): void;
  /** Records what a target's response shows about it. */
  recordResponse(
    service: ServiceId,
    response: {
      readonly target: number;
      readonly pace: number | undefined;
      /** Requests that run or wait there; undefined if it doesn't state them. */
      readonly requests?: number | undefined;
    },
  ): void;
  /** Records that a request was refused for lack of room. */
  recordRefusal(service: ServiceId, priority: number): void;
}
