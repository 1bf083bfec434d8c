/**
 * Stand-ins for what surrounds the daemons, for the tests with real
 * processes and the experiments.
 *
 * @module
 */

export {
  type DeploymentName,
  DEPLOYMENTS,
  type PresetName,
  PRESETS,
  shippedPreset,
} from "./presets.ts";
export { createPlatform } from "./platform/platform.ts";
export type { Faults, PlatformCounts } from "./platform/faults.ts";
export type { TargetOptions, TargetSwitches } from "./target/switches.ts";
export { LOOKUP_PATH } from "./caller/lookup.ts";
export { Caller, type CallerOptions } from "./caller/caller.ts";
export { MIXES, type RequestKind } from "./caller/request_kind.ts";
export { processOptions, type ReadyLine, serveAdmin } from "./admin.ts";
export { call } from "./cluster/call.ts";
export {
  Cluster,
  type ClusterOptions,
  OPERATOR_TOKENS,
} from "./cluster/cluster.ts";
export { makeChange, putFirstInForce, submit } from "./cluster/operate.ts";
export { findPorts, type Ports } from "./cluster/ports.ts";
export {
  type Exit,
  Processes,
  type ProcessOptions,
  type Started,
} from "./cluster/processes.ts";
export { daemonScript, standInScript } from "./cluster/scripts.ts";
