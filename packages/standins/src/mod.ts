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
export { createPlatform, type Faults, type TableFault } from "./platform.ts";
export { createTarget, type TargetOptions } from "./target.ts";
