/**
 * What the gateway needs of the platform it runs on. An adapter implements it.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type {
  AccountId,
  InstanceId,
  RegionId,
  ServiceId,
  TargetId,
  VmId,
  ZoneId,
} from "@poplarthread/ids";
import type { LoadReport } from "@poplarthread/placement";
import type { Credential } from "./accounts/client_account.ts";
import type { RoutingConfiguration } from "./configuration.ts";

/** A target as it announces itself. */
export interface AnnouncedTarget {
  readonly id: TargetId;
  readonly service: ServiceId;
  /** `host:port`. */
  readonly address: string;
  readonly zone: ZoneId;
  readonly slots: number;
  /** It serves what it has and must get nothing new. */
  readonly leaving: boolean;
  /** How much longer it stays slow after its start, in milliseconds, as of its last word. */
  readonly coldMs: number;
  /** Unix millisecond of its start; two lives under one id differ in it. Undefined where unsaid. */
  readonly startedAt: number | undefined;
}

/** A VM of the system as it announces itself. */
export interface Member {
  readonly vm: VmId;
  readonly instance: InstanceId;
  readonly zone: ZoneId;
  readonly region: RegionId;
  /** Where its callers' listener is, `host:port`. */
  readonly callerAddress: string;
  /** Where its peers reach it, `host:port`. */
  readonly peerAddress: string;
  /** Processor that it has, in cores. */
  readonly cores: number;
}

/** Subjects that the platform keeps and that are watched one by one. */
export const WATCHED_SUBJECTS = ["operator", "targets", "members"] as const;

/** One of {@link WATCHED_SUBJECTS}. */
export type WatchedSubject = (typeof WATCHED_SUBJECTS)[number];

/** News from the platform. */
export type PlatformEvent =
  | {
    readonly kind: "configuration";
    readonly configuration: RoutingConfiguration;
  }
  /** A configuration that cannot be used; the one before stays in force. */
  | { readonly kind: "unusable-configuration"; readonly reason: string }
  | {
    readonly kind: "evacuations";
    readonly zones: ReadonlySet<ZoneId>;
  }
  /** All targets that announce themselves now. */
  | {
    readonly kind: "targets";
    readonly targets: ReadonlyMap<TargetId, AnnouncedTarget>;
  }
  /** All VMs that ever announced themselves, this one perhaps not among them. */
  | { readonly kind: "members"; readonly members: readonly Member[] };

/** A row of a subject, as the platform's store keeps it. */
export interface StoredRow {
  readonly key: string;
  /** Undefined where the row was removed. */
  readonly value: Buffer | undefined;
  /** Counter of the transaction that wrote it; one counter for all subjects. */
  readonly version: number;
}

/** Rows of one answer of the store. */
export interface RowsPage {
  readonly rows: readonly StoredRow[];
  /** The newest version of the store. */
  readonly version: number;
  /** More rows follow. */
  readonly isTruncated: boolean;
}

/** The store no longer knows what changed since then; everything has to be read again. */
export class HistoryGoneError extends Error {
  override readonly name = "HistoryGoneError";
}

/** Which changes to wait for. */
export interface ChangesQuestion {
  /** Changes after this version. */
  readonly version: number;
  /** How long to wait for one, in milliseconds. */
  readonly waitMs: number;
  /** Gives the call up. */
  readonly signal: AbortSignal;
}

/** The platform's store as the gateway uses it. Its calls reject where they fail. */
export interface PlatformPort {
  /** Reads a page of a subject's rows in the order of their keys, from `from` on. */
  list(subject: WatchedSubject, from: string | undefined): Promise<RowsPage>;
  /** Waits until rows of a subject change; rejects with {@link HistoryGoneError} where they can't be told any more. */
  changes(
    subject: WatchedSubject,
    question: ChangesQuestion,
  ): Promise<RowsPage>;
  /** What the rows of a subject say. */
  decode(
    subject: WatchedSubject,
    rows: ReadonlyMap<string, StoredRow>,
  ): readonly PlatformEvent[];
  /** Makes this VM known to the others. */
  announce(member: Member): Promise<void>;
  close(): void;
}

/** A caller's request, read from its header. */
export interface CallerRequest {
  readonly kind: "request";
  /** Lower-case host name without a port. */
  readonly host: string;
  /** Path without the query. */
  readonly path: string;
  /** The caller's own name for this sending; empty where it has none. */
  readonly requestId: string;
  /** How long the caller waits, in milliseconds; undefined where unsaid. */
  readonly deadlineMs: number | undefined;
  /** Names the object that the request concerns; undefined where it names none. */
  readonly object: string | undefined;
  /** Who sends it, as its header says. */
  readonly credential: Credential;
  /** Lines for the target, name and value in turn, without those set for each attempt. */
  readonly lines: readonly string[];
  /** Bytes of the body; -1 where the header does not say. */
  readonly contentLength: number;
  readonly chunked: boolean;
}

/** A request that cannot be understood. */
export interface MalformedRequest {
  readonly kind: "malformed";
  readonly reason: string;
}

/** The header of a target's answer. */
export interface TargetAnswer {
  readonly status: number;
  /** Lines for the caller, name and value in turn. */
  readonly lines: string[];
  /** Bytes of the body; -1 where the header does not say. */
  readonly contentLength: number;
  /** The body comes in chunks, of which the last one marks its end. */
  readonly isChunked: boolean;
  /** The request that the target says it answers; undefined where unsaid. */
  readonly requestId: string | undefined;
  /** The target vouches that it made this answer. */
  readonly isStamped: boolean;
  /** The target says that it did not run the request. */
  readonly notRun: boolean;
  /** The address belongs to another target now. */
  readonly isOtherTarget: boolean;
  readonly load: LoadReport | undefined;
  /** The target leaves: it serves what it has and must get nothing new. */
  readonly isLeaving: boolean;
  /** How long the target, which turned the request away, wants nothing from this VM, in milliseconds; 0 where it asks for no rest. */
  readonly restMs: number;
  /** Requests a second that the target takes from all VMs together; undefined where it names no limit. */
  readonly limitPerSecond: number | undefined;
}

/** What a health probe found. */
export interface HealthAnswer {
  readonly isHealthy: boolean;
  /** The target that answered; undefined where unsaid. */
  readonly target: TargetId | undefined;
  readonly coldMs: number;
}

/** Asks which VMs to connect to. */
export interface LookupQuestion {
  readonly region: RegionId;
  readonly zone: ZoneId;
}

/** What an attempt tells its target besides the request. */
export interface AttemptLabel {
  readonly target: TargetId;
  readonly leftMs: number;
  /** The client account whose request it is; undefined where nobody asked. */
  readonly account: AccountId | undefined;
}

/** How callers and targets speak. */
export interface Dialect {
  /** With accounts, what the header says of its sender is the gateway's alone. */
  readRequest(
    req: IncomingMessage,
    options: { readonly hasAccounts: boolean },
  ): CallerRequest | MalformedRequest;
  /** Lines that one attempt adds to the request's own. */
  attemptLines(attempt: AttemptLabel): readonly string[];
  /** Reads an answer from the raw header lines. */
  readAnswer(status: number, raw: readonly Uint8Array[]): TargetAnswer;
  readHealth(status: number, raw: readonly Uint8Array[]): HealthAnswer;
  /** Undefined where `url` is no such question. */
  readLookup(url: string): LookupQuestion | undefined;
  /** JSON body that answers a look-up. */
  lookupBody(
    answer: { readonly addresses: readonly string[]; readonly ttlMs: number },
  ): string;
  /** Whether `url` asks whether this VM is ready. */
  isReadinessQuestion(url: string): boolean;
}
