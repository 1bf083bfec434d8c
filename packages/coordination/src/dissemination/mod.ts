/**
 * Dissemination: a change reaches every VM down a tree of pushes, and whoever
 * the tree misses finds out from the revision on the next heartbeat.
 *
 * @module
 */

export type {
  DisseminatedChange,
  DisseminationEffect,
  DisseminationMessage,
} from "./messages.ts";
export { rankedIn, READERS_PER_ZONE, readersOf } from "./ranks.ts";
export type { Ranked } from "./ranks.ts";
export { Dissemination, type DisseminationOptions } from "./dissemination.ts";
