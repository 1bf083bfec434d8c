/**
 * Versioned configuration: one value in force, changed by a conditional
 * transaction and followed by every VM.
 *
 * @module
 */

export {
  type AuditEntry,
  auditKey,
  type Change,
  type ChangeOrigin,
  IN_FORCE_KEY,
  type InForce,
  operationKey,
  type OperationRow,
  stillInForce,
} from "./in_force.ts";
export type { AcceptOutcome } from "./acceptance.ts";
export {
  type AuditPage,
  ConfigurationStore,
  type ConfigurationStoreOptions,
} from "./store.ts";
export type { FollowerEffect } from "./follower_core.ts";
export { ConfigurationFollower, type FollowerOptions } from "./follower.ts";
