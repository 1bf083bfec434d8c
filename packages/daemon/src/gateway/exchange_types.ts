/**
 * What an exchange is given and what it reports.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { ServiceId, TargetId, VmId } from "@poplarthread/ids";
import type { LoadReport, PlacedVia } from "@poplarthread/placement";
import type { DeadlineWheel } from "../http/deadline_wheel.ts";
import type { AdmittedCaller } from "./accounts/admission.ts";
import type { AttemptReportServices } from "./attempt_report.ts";
import type { DeliverySummary, EndsConnection } from "./caller_response.ts";
import type { Route } from "./configuration.ts";
import type { GatewayExchange } from "./exchange.ts";
import type { Forwarding } from "./forwarding/forwarding.ts";
import type { LocalReplyReason } from "./local_reply.ts";
import type { PlannedStop } from "./planned_stop.ts";
import type { CallerRequest } from "./ports.ts";
import type { RequestQueue } from "./request_queue.ts";
import type { ResponseBudget } from "./response_budget.ts";
import type { StartAttemptServices } from "./start_attempt.ts";
import type { TargetAttemptEnd } from "./target_attempt.ts";

/** How an exchange ended, for logs and metrics. */
export type GatewayExchangeEnd =
  | "answered"
  | "caller-gone"
  /** The caller stopped reading the response. */
  | "caller-stalled"
  | LocalReplyReason;

/** Dependencies of an exchange; one object is shared by all exchanges of a VM. */
export interface GatewayExchangeServices
  extends AttemptReportServices, StartAttemptServices {
  readonly wheel: DeadlineWheel;
  readonly queue: RequestQueue;
  readonly budget: ResponseBudget;
  /** Undefined where requests are not forwarded to other VMs. */
  readonly forwarding?: Forwarding | undefined;
  readonly plannedStop: PlannedStop;
  /** Called once per exchange, when its caller has the final response or has disconnected. */
  ended(exchange: GatewayExchange, end: GatewayExchangeEnd): void;
  /** Called once per attempt. */
  attemptEnded(end: TargetAttemptEnd["kind"]): void;
}

/** A request as accepted by the listener. */
export interface GatewayExchangeOptions {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly request: CallerRequest;
  readonly route: Route;
  readonly caller: AdmittedCaller;
  readonly service: ServiceId;
  readonly bodyBytes: number;
  /** Version of the configuration that the request is handled under. */
  readonly version: number;
  /** The store's history that the operator's rows belonged to at that time. */
  readonly era: number;
  readonly now: number;
  readonly endsConnection: EndsConnection;
  /**
   * Whether an earlier request on the connection, whose response comes first, may last
   * beyond `time`; never by default.
   */
  isBehindUntil?(time: number): boolean;
  /** Undefined if the request comes from its caller. */
  readonly forwarded?: ForwardedExchange | undefined;
}

/** What an exchange knows of the VM that forwarded its request. */
export interface ForwardedExchange {
  /** Undefined if it is not known. */
  readonly from: VmId | undefined;
  /** Attempts already made. */
  readonly attempts: number;
  /** What tells its caller apart from others; undefined if an older version of the program does not say. */
  readonly caller: string | undefined;
}

/** What a request has met, for logs and metrics. */
export interface ExchangeSummary {
  /** Number of attempts that were written to a target. */
  readonly attempts: number;
  /** The attempt that ended most recently. */
  readonly lastAttempt: AttemptSummary | undefined;
  /** How the target of the last attempt was chosen; undefined if there was none, or the request has no object. */
  readonly placedVia: PlacedVia | undefined;
  /** The VM that the request was last forwarded to, if any. */
  readonly forwardedTo: VmId | undefined;
  /** The VM that forwarded the request to this one, if any. */
  readonly forwardedFrom: VmId | undefined;
  /** The Retry-After sent to the caller; undefined if none was sent. */
  readonly retryAfterMs: number | undefined;
  /** The delivery of the response to the caller. */
  readonly delivery: DeliverySummary;
  /** Time until the first attempt, or until now if there was none. */
  readonly waitedMs: number;
}

/** The logged details of an attempt. */
export interface AttemptSummary {
  readonly target: TargetId;
  readonly durationMs: number;
  readonly end: TargetAttemptEnd["kind"];
  /** The load that the target reported with its response, if any. */
  readonly load: LoadReport | undefined;
}
