/**
 * Dissemination: a change is pushed to all VMs along a tree. A VM that misses it
 * detects this from the revision in the next heartbeat.
 *
 * @module
 */

export type {
  DisseminatedChange,
  DisseminationEffect,
  DisseminationMessage,
} from "./messages.ts";
export { rankedIn, READERS_PER_ZONE, readersOf } from "./ranks.ts";
export type { RankedMember } from "./ranks.ts";
export { Dissemination, type DisseminationOptions } from "./dissemination.ts";
