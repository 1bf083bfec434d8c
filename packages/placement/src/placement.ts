/**
 * What is asked of placement, what it decides, and what it is told of the outcome.
 *
 * @module
 */

import type { RegionId, ServiceId, TargetId } from "@poplarthread/ids";
import type { LoadReport } from "./target_load.ts";

/** A request as far as its placement goes. */
export interface PlacementRequest {
  readonly service: ServiceId;
  /** Requests of one kind take about as long: the name of its route. */
  readonly kind: string;
  /** Rank of its route; 0 goes first. */
  readonly priority: number;
  /** Hash of the object that it concerns; undefined where requests are all alike. */
  readonly object: number | undefined;
  /** Regions in which it may run; empty for all. */
  readonly regions: readonly RegionId[];
  readonly arrivedAt: number;
  /** When its caller or its route stops waiting. */
  readonly answerBy: number;
  /** Targets that it must not go to again. */
  readonly tried: ReadonlySet<TargetId>;
}

/** Whether a target was taken to keep the object of a request that was sent to it. */
export type Warmth = "warm" | "unwarmed" | "unknown";

/** Why a request is refused. */
export type PlacementRefusal =
  /** No target of the service may be used. */
  | "no-target"
  /** It would get its answer too late. */
  | "overload";

/** What happens to a request now. */
export type PlacementDecision =
  | {
    readonly kind: "send";
    readonly target: TargetId;
    readonly expectedMs: number;
    readonly warmth: Warmth;
  }
  | { readonly kind: "wait" }
  | {
    readonly kind: "refuse";
    readonly reason: PlacementRefusal;
    readonly retryAfterMs: number;
  };

/** How an attempt ended, as far as it says something about its target. */
export type AttemptResult =
  | {
    readonly kind: "answered";
    readonly load: LoadReport | undefined;
    /** The target failed the request or refused to run it. */
    readonly failed: boolean;
    readonly object: number | undefined;
    /** Kind of the request. */
    readonly requestKind: string;
    readonly warmth: Warmth;
  }
  /** The connection broke off before the answer was whole. */
  | { readonly kind: "broke" }
  /** This VM broke it off. */
  | { readonly kind: "abandoned" };
