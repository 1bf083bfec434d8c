/**
 * The messages between VMs in datagrams, as JSON-RPC 2.0 notifications.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type {
  Fingerprint,
  HeldBackReport,
  TargetRun,
} from "@poplarthread/coordination/held_back";
import type { VmId } from "@poplarthread/ids";
import * as z from "zod";
import { parseDatagram } from "./datagram.ts";
import type { Member, WatchedSubject } from "./ports.ts";
import { isSocketAddress } from "./socket_address.ts";

/** Fields of both heartbeats and zone reports. */
export interface CommonFields {
  /** The newest version of each subject of the platform that the sender has seen. */
  readonly seen: Readonly<Record<WatchedSubject, number>>;
  /** The store's history that these versions belong to. Older versions of the program don't send this field. */
  readonly era?: number;
  /** Always empty; versions of the program before `suspects` take no message without it. */
  readonly crashes: readonly [];
  /** Requests that may crash targets. Older versions of the program don't send this field. */
  readonly suspects?: readonly EncodedSuspect[];
}

/**
 * A {@link HeldBackReport}: the fingerprint, the age of its completion or null, the run
 * and age of each listed crash, and the number of all crashes unless all are listed,
 * which older versions of the program pass over.
 */
export type EncodedSuspect = readonly (string | number | null)[];

const suspectSchema = z.tuple([z.string(), z.number().min(0).nullable()])
  .rest(z.union([z.string(), z.number().min(0)]));

/** Encodes a report in few bytes. */
export function encodeSuspect(
  { fingerprint, crashes, count = 0, completedAgeMs }: HeldBackReport,
): EncodedSuspect {
  const pairs = crashes.flatMap(({ run, ageMs }) => [run, ageMs]);
  const rest = count > crashes.length ? [count] : [];
  return [fingerprint, completedAgeMs ?? null, ...pairs, ...rest];
}

/** Decodes reports; those that cannot be read are left out. */
export function decodeSuspects(
  suspects: readonly EncodedSuspect[],
): readonly HeldBackReport[] {
  return suspects.flatMap((encoded) => {
    const parsed = suspectSchema.safeParse(encoded);
    return parsed.success ? [decodeSuspect(parsed.data)] : [];
  });
}

function decodeSuspect(
  [fingerprint, completedAgeMs, ...pairs]: z.infer<typeof suspectSchema>,
): HeldBackReport {
  const crashes: { run: TargetRun; ageMs: number }[] = [];
  for (let at = 0; at + 1 < pairs.length; at += 2) {
    crashes.push({ run: pairs[at] as TargetRun, ageMs: Number(pairs[at + 1]) });
  }
  const count = pairs.length % 2 === 0 ? undefined : Number(pairs.at(-1));
  return {
    fingerprint: fingerprint as Fingerprint,
    crashes: crashes.filter(({ ageMs }) => Number.isFinite(ageMs)),
    ...(Number.isSafeInteger(count) ? { count: count! } : {}),
    ...(completedAgeMs === null ? {} : { completedAgeMs }),
  };
}

/** A VM's heartbeat. */
export interface Heartbeat extends CommonFields {
  readonly member: Member;
  readonly isLeaving: boolean;
  /** The VM reaches no target, or other VMs can't forward requests to it. Older versions of the program don't send this field. */
  readonly isCutOff?: boolean;
  /** The VM lacks processor time for its callers. Older versions of the program don't send this field. */
  readonly isOverloaded?: boolean;
  /** The process leaves until a listener that failed is back. Older versions of the program don't send this field. */
  readonly isPaused?: boolean;
  /** The process leaves because it cannot go on. Older versions of the program don't send this field. */
  readonly hasFailed?: boolean;
}

/** A delegate's report on the VMs of its zone. */
export interface ZoneReport extends CommonFields {
  /** Time since the last heartbeat of each VM that is up, in milliseconds. */
  readonly ages: Readonly<Record<VmId, number>>;
  /** Those of them that are leaving. */
  readonly leaving: readonly VmId[];
  /** Those of them that reach no target, or to which no requests can be forwarded. Older versions of the program don't send this field. */
  readonly cutOff?: readonly VmId[];
  /**
   * Those of them that lack processor time for their callers, by their index in `ages`:
   * all VMs of a zone may, and their names would not fit in. Older versions of the
   * program don't send this field.
   */
  readonly overloaded?: readonly number[];
}

/** A VM's update on warm targets. */
export interface WarmUpdate {
  /** Pairs of hashed object and target, in base64. */
  readonly pairs: string;
}

/** Whether `params` is an update on warm targets. */
export function isWarmUpdate(params: unknown): params is WarmUpdate {
  return typeof (params as Partial<WarmUpdate> | null)?.pairs === "string";
}

/** Encodes one notification. */
export function encodeNotification(method: string, params: object): Buffer {
  return Buffer.from(JSON.stringify({ jsonrpc: "2.0", method, params }));
}

/** A message as it was sent: whether it is one of a VM is not known yet. */
export interface Notification {
  readonly method?: unknown;
  readonly params?: unknown;
}

/** Decodes one notification; undefined if the datagram is none. */
export function decodeNotification(datagram: Buffer): Notification | undefined {
  return parseDatagram(datagram);
}

function isObject(value: unknown): value is object {
  return typeof value === "object" && value !== null;
}

function areNumbers(value: unknown): boolean {
  return isObject(value) && Object.values(value).every(Number.isFinite);
}

/** Whether `params` has the fields of both heartbeats and zone reports. */
export function hasCommonFields(params: unknown): params is CommonFields {
  if (!isObject(params)) {
    return false;
  }
  const { seen, era = 0, suspects = [] } = params as Partial<CommonFields>;
  return areNumbers(seen) && Number.isFinite(era) && Array.isArray(suspects);
}

function isText(value: unknown): value is string {
  return typeof value === "string";
}

function isMemberAddress(address: unknown): boolean {
  return typeof address === "string" && isSocketAddress(address);
}

/** Whether `params` is a heartbeat. */
export function isHeartbeat(params: CommonFields): params is Heartbeat {
  const { member } = params as Partial<Heartbeat>;
  return isObject(member) &&
    [member.vm, member.instance, member.zone, member.region].every(isText) &&
    isMemberAddress(member.peerAddress) &&
    isMemberAddress(member.callerAddress) &&
    Number.isFinite(member.cores);
}

/** Whether `params` is a zone report. */
export function isZoneReport(params: CommonFields): params is ZoneReport {
  const { ages, leaving, cutOff = [], overloaded = [] } = params as Partial<
    ZoneReport
  >;
  return areNumbers(ages) && Array.isArray(leaving) &&
    Array.isArray(cutOff) && Array.isArray(overloaded);
}
