/**
 * Input and output of placement: requests, decisions, and the outcomes of attempts.
 *
 * @module
 */

import type {
  AccountId,
  RegionId,
  ServiceId,
  TargetId,
} from "@poplarthread/ids";
import type { GateCause } from "./room/room_gate.ts";
import type { LoadReport } from "./target_load.ts";

/** The properties of a request that its placement depends on. */
export interface PlacementRequest {
  readonly service: ServiceId;
  /** Name of its route. Requests of one kind take similar time. */
  readonly kind: string;
  /** Priority rank of its route; 0 is the most urgent. */
  readonly priority: number;
  /** Priority of its route, whatever its account's; by default that of the request. */
  readonly routePriority?: number;
  /**
   * Hash of the object that the request concerns; undefined if targets cache
   * nothing for it.
   */
  readonly object: number | undefined;
  /** The client account that it belongs to; undefined if callers are not identified. */
  readonly account?: AccountId | undefined;
  /** Regions in which it may run; empty for all regions. */
  readonly regions: readonly RegionId[];
  readonly arrivedAt: number;
  /** When the timeout of its caller or of its route expires. */
  readonly deadlineAt: number;
  /** When its latency objective expires; by default with the deadline. */
  readonly objectiveAt?: number;
  /** Targets that must not receive it again. */
  readonly tried: ReadonlySet<TargetId>;
}

/** The properties of a request that the homes of objects are assigned by. */
export type PlacementDemand = Pick<
  PlacementRequest,
  "service" | "kind" | "priority" | "object"
>;

/**
 * Whether the target was assumed to have the request's object cached when the
 * request was sent to it.
 */
export type Warmth = "warm" | "unwarmed" | "unknown";

/** Why a request is refused. */
export type PlacementRefusal =
  /** No target of the service is usable. */
  | "no-target"
  /** Its response is expected too late. */
  | "overload";

/** How the target of a request relates to the homes of the request's object. */
export type PlacedVia =
  /** The preferred home. */
  | "home"
  /** Another home. */
  | "second-home"
  /** A target that is not one of the homes. */
  | "other"
  /** The object has no assigned homes. */
  | "unassigned";

/** What happens to a request now. */
export type PlacementDecision =
  | {
    readonly kind: "send";
    readonly target: TargetId;
    readonly expectedMs: number;
    readonly warmth: Warmth;
    /** Undefined for requests without an object. */
    readonly via?: PlacedVia | undefined;
  }
  /** The request waits for the homes of its object to become known, or for capacity. */
  | { readonly kind: "wait"; readonly for: "homes" | "capacity" }
  | PlacementRefused;

/** A request is refused. */
export interface PlacementRefused {
  readonly kind: "refuse";
  readonly reason: PlacementRefusal;
  /** Why it was refused on arrival; undefined if it was refused later. */
  readonly cause?: GateCause;
  readonly retryAfterMs: number;
}

/** How an attempt ended, as far as it affects the view of its target. */
export type AttemptResult =
  | {
    readonly kind: "answered";
    readonly load: LoadReport | undefined;
    /** The target failed the request or refused to run it. */
    readonly failed: boolean;
    /** The target refused to run it for lack of room; `failed` is also true. */
    readonly isRefusal?: boolean;
    readonly object: number | undefined;
    /** Kind of the request; see {@link PlacementRequest.kind}. */
    readonly requestKind: string;
    readonly warmth: Warmth;
  }
  /** The connection broke before the response was complete. */
  | { readonly kind: "broke" }
  /** This VM aborted the attempt. */
  | { readonly kind: "abandoned" };
