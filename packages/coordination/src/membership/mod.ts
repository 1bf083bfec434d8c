/**
 * Membership and failure detection among VMs: heartbeats to a few random peers
 * with piggybacked updates, at a cost per VM that stays constant as the fleet
 * grows.
 *
 * @module
 */

export type {
  Fact,
  Heartbeat,
  ListedMember,
  Member,
  MemberLocation,
  MembershipEffect,
  MembershipMessage,
  MemberState,
  Sender,
  Update,
} from "./messages.ts";
export { Membership, type MembershipOptions } from "./membership.ts";
