/**
 * What an exchange is given and what it reports.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { ServiceId, TargetId } from "@poplarthread/ids";
import type { LoadReport, PlacedVia } from "@poplarthread/placement";
import type { DeadlineWheel } from "../http/deadline_wheel.ts";
import type { AdmittedCaller } from "./accounts/admission.ts";
import type { AttemptReportServices } from "./attempt_report.ts";
import type { DeliverySummary, EndsConnection } from "./caller_response.ts";
import type { Route } from "./configuration.ts";
import type { GatewayExchange } from "./exchange.ts";
import type { LocalReplyReason } from "./local_reply.ts";
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
  readonly now: number;
  readonly endsConnection: EndsConnection;
}

/** What a request has met, for logs and metrics. */
export interface ExchangeSummary {
  /** Number of attempts that were written to a target. */
  readonly attempts: number;
  /** The attempt that ended most recently. */
  readonly lastAttempt: AttemptSummary | undefined;
  /** How the target of the last attempt was chosen; undefined if there was none, or the request has no object. */
  readonly placedVia: PlacedVia | undefined;
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
