/**
 * What VMs say to each other in datagrams, as JSON-RPC 2.0 notifications.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { VmId } from "@poplarthread/ids";
import type { SuspectedCrash } from "./crash_suspects.ts";
import type { Member, WatchedSubject } from "./ports.ts";

/** What each datagram says besides. */
export interface CommonWord {
  /** The newest version that the sender has seen of each subject of the platform. */
  readonly seen: Readonly<Record<WatchedSubject, number>>;
  readonly crashes: readonly SuspectedCrash[];
}

/** What a VM says of itself. */
export interface Heartbeat extends CommonWord {
  readonly member: Member;
  readonly isLeaving: boolean;
}

/** What a VM says of the VMs of its zone. */
export interface ZoneReport extends CommonWord {
  /** Time since each VM that is up gave word of itself, in milliseconds. */
  readonly ages: Readonly<Record<VmId, number>>;
  /** Those of them that leave. */
  readonly leaving: readonly VmId[];
}

/** What a VM tells of warm targets: pairs, encoded. */
export interface WarmWord {
  readonly pairs: string;
}

/** Whether it tells of warm targets. */
export function isWarmWord(params: unknown): params is WarmWord {
  return typeof (params as Partial<WarmWord> | null)?.pairs === "string";
}

/** The bytes of one notification. */
export function encode(method: string, params: object): Buffer {
  return Buffer.from(JSON.stringify({ jsonrpc: "2.0", method, params }));
}

/** Whether it is a heartbeat or a report. */
export function hasCommonWord(params: unknown): params is CommonWord {
  if (typeof params !== "object" || params === null) {
    return false;
  }
  const { seen, crashes } = params as Partial<CommonWord>;
  return typeof seen === "object" && Array.isArray(crashes);
}

/** Whether it is a heartbeat. */
export function isHeartbeat(params: CommonWord): params is Heartbeat {
  const { member } = params as Partial<Heartbeat>;
  return typeof member?.vm === "string" &&
    typeof member.peerAddress === "string" &&
    typeof member.callerAddress === "string" &&
    typeof member.cores === "number";
}

/** Whether it is a report of a zone. */
export function isZoneReport(params: CommonWord): params is ZoneReport {
  const { ages, leaving } = params as Partial<ZoneReport>;
  return typeof ages === "object" && Array.isArray(leaving) &&
    Object.values(ages).every((age) => typeof age === "number");
}
