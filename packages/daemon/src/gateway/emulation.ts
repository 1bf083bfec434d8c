/**
 * Exports the parts of the gateway that run without sockets, for simulations in
 * virtual time.
 *
 * @module
 */

export { anonymousCaller } from "./accounts/admission.ts";
export type { ConnectionTarget, TargetConnection } from "./connection.ts";
export type { ConnectionSource } from "./connections.ts";
export { ConnectionUpkeep, UPKEEP_TICK_MS } from "./homes/connection_upkeep.ts";
export type { Route, Service } from "./configuration.ts";
export { EventLog } from "./events.ts";
export type { HomeTargets } from "./homes/home_targets.ts";
export type { GatewayExchange } from "./exchange.ts";
export type { GatewayExchangeEnd } from "./exchange_types.ts";
export { decodeHomeMessage, encodeHomeMessage } from "./homes/home_codec.ts";
export type {
  CallerRequest,
  Dialect,
  RegisteredTarget,
  TargetResponse,
} from "./ports.ts";
export {
  BUSY_TICK_MS,
  IDLE_TICK_MS,
  RequestPath,
  type RequestPathOptions,
} from "./request_path.ts";
export { SILENT_LOG } from "../silent_log.ts";
