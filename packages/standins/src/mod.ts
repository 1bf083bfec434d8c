/**
 * Stand-ins for the systems around the daemons (platform, targets, callers),
 * for tests with real processes and for experiments.
 *
 * @module
 */

export {
  DEPLOYMENT_NAMES,
  type DeploymentName,
  PRESET_NAMES,
  type PresetName,
  readShippedPreset,
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
export {
  makeChange,
  submitChange,
  writeFirstPreset,
} from "./cluster/operator_changes.ts";
export { findFreePorts, type Ports } from "./cluster/ports.ts";
export {
  type ExitStatus,
  Processes,
  type ProcessOptions,
  type StartedProcess,
} from "./cluster/processes.ts";
export { daemonScript, standInScript } from "./cluster/scripts.ts";
