/**
 * The daemon, for programs that run it in their own process.
 *
 * @module
 */

export { type Daemon, startDaemon } from "./daemon.ts";
export type {
  OperatorBackend,
  OperatorChange,
  ProbeAnswer,
  ProbeHandlers,
} from "./operator_backend.ts";
