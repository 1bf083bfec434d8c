/**
 * The daemon, for programs that run it in their own process.
 *
 * @module
 */

export { type Daemon, startDaemon } from "./daemon.ts";
export type {
  OperatorBackend,
  OperatorChange,
  ProbeHandlers,
  ProbeResponse,
} from "./operator_backend.ts";
