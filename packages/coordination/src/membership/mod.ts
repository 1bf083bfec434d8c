/**
 * Membership and failure detection among VMs: heartbeats to a few random peers
 * with news riding on them, at a cost per VM that stays flat as the fleet grows.
 *
 * @module
 */

export type {
  Fact,
  Heartbeat,
  ListedMember,
  Member,
  MemberPlace,
  MembershipEffect,
  MembershipMessage,
  MemberState,
  News,
  Sender,
} from "./messages.ts";
export { Membership, type MembershipOptions } from "./membership.ts";
