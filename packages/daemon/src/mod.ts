/**
 * The daemon, for programs that run it inside a process of their own.
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
