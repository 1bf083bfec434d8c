/**
 * Detection of requests that crash each target they reach, to hold them back.
 *
 * @module
 */

export { DEFAULT_HELD_BACK_POLICY, HeldBack } from "./held_back.ts";
export { type HeldBackReport, isRepeated } from "./held_back_reports.ts";
export {
  type Fingerprint,
  type HeldBackMessage,
  type HeldBackPolicy,
  type HeldBackVerdict,
  type TargetRun,
  targetRun,
} from "./held_back_types.ts";
