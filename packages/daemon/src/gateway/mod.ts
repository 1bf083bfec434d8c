/**
 * The gateway: the daemon for platforms whose store lists the targets and holds
 * the operators' configuration.
 *
 * @module
 */

export type { ClientAccount, Credential } from "./accounts/client_account.ts";
export {
  type CallerLimits,
  type Route,
  type RoutingConfiguration,
  type Service,
} from "./configuration.ts";
export { type Gateway, type GatewayPorts, startGateway } from "./gateway.ts";
export type {
  CallerRequest,
  ChangesRequest,
  CrashReport,
  Dialect,
  HealthResponse,
  LookupRequest,
  MalformedRequest,
  Member,
  PlatformEvent,
  PlatformPort,
  RegisteredTarget,
  RowsPage,
  StoredRow,
  TargetResponse,
  WatchedSubject,
} from "./ports.ts";
export { HistoryGoneError } from "./ports.ts";
export type {
  ClientBounds,
  GatewayBounds,
  GatewaySettings,
  ListenAddress,
} from "./settings.ts";
export { EventLog } from "./events.ts";
export { NamedHistory } from "./store_history.ts";
export { createLog, type Log } from "../log.ts";
export { messageOf } from "../errors.ts";
export { pause } from "../pause.ts";
export { parseJson } from "../bounded_json.ts";
export { type JsonCall, JsonClient } from "../json_client.ts";
export {
  dropConnectionHeaders,
  HOP_BY_HOP_HEADERS,
} from "../http/hop_by_hop.ts";
export { isSameRow } from "./stored_row.ts";
export { isSocketAddress } from "./socket_address.ts";
export { ProcessEnd } from "../process_end.ts";
export { StopSignals } from "../stop_signals.ts";
