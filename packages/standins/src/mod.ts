/**
 * Stand-ins for what surrounds the daemons, for the demo, the tests with real
 * processes and the bench.
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
export { Caller, type CallerOptions } from "./caller/caller.ts";
export { MIXES, type RequestKind } from "./caller/request_kind.ts";
