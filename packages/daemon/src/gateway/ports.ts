/**
 * The interfaces through which the gateway uses its platform. An adapter implements them.
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
import type { HeldBackReport } from "@poplarthread/coordination/held_back";
import type { LoadReport } from "@poplarthread/placement";
import type { Arrival, ExchangeEnd } from "../json_exchange.ts";
import type { Credential } from "./accounts/client_account.ts";
import type { RoutingConfiguration } from "./configuration.ts";

/** A target as it registers itself in the platform's store. */
export interface RegisteredTarget {
  readonly id: TargetId;
  readonly service: ServiceId;
  /** `host:port`. */
  readonly address: string;
  readonly zone: ZoneId;
  readonly slots: number;
  /** The target finishes the requests that it has and must get no new ones. */
  readonly isLeaving: boolean;
  /** Remaining time for which the target is slow after its start, as of its last update. */
  readonly coldMs: number;
  /** Start of the target, in Unix milliseconds; tells runs under one id apart. Undefined if not given. */
  readonly startedAt: number | undefined;
}

/** A VM of the system as it registers itself. Sent to other VMs as JSON. */
export interface Member {
  readonly vm: VmId;
  readonly instance: InstanceId;
  readonly zone: ZoneId;
  readonly region: RegionId;
  /** Address of its listener for callers, `host:port`. */
  readonly callerAddress: string;
  /** Address of its listener for other VMs, `host:port`. */
  readonly peerAddress: string;
  /** Number of processor cores. */
  readonly cores: number;
}

/** Sets of rows in the platform's store, each watched separately. */
export const WATCHED_SUBJECTS = ["operator", "targets", "members"] as const;

/** One of {@link WATCHED_SUBJECTS}. */
export type WatchedSubject = (typeof WATCHED_SUBJECTS)[number];

/** A change reported by the platform. */
export type PlatformEvent =
  | {
    readonly kind: "configuration";
    readonly configuration: RoutingConfiguration;
    /** Entries that were left out or are only partly understood, each with its place. */
    readonly findings: readonly string[];
  }
  /** A configuration that cannot be used; the previous one stays in force. */
  | { readonly kind: "unusable-configuration"; readonly reason: string }
  | {
    readonly kind: "evacuations";
    readonly zones: ReadonlySet<ZoneId>;
  }
  /** All targets that are registered now. */
  | {
    readonly kind: "targets";
    readonly targets: ReadonlyMap<TargetId, RegisteredTarget>;
  }
  /** All VMs that ever registered; may lack the local one. */
  | { readonly kind: "members"; readonly members: readonly Member[] }
  /** What VMs have recorded of requests that crash targets. Ages are as of the event. */
  | { readonly kind: "crashes"; readonly reports: readonly CrashReport[] };

/** What a VM knows of a request that crashes targets. */
export type CrashReport = HeldBackReport;

/** A row of a subject in the platform's store. */
export interface StoredRow {
  readonly key: string;
  /** Undefined if the row was removed. */
  readonly value: Buffer | undefined;
  /** Number of the transaction that wrote it; all subjects share one counter. */
  readonly version: number;
}

/** Rows of one response of the store. */
export interface RowsPage {
  readonly rows: readonly StoredRow[];
  /** The newest version of the store. */
  readonly version: number;
  /**
   * The store's history that the versions belong to. It changes when the store is restored
   * from a copy: versions then go back and are given out again. It usually rises; nothing
   * may rely on that.
   */
  readonly era: number;
  /** More rows follow on the next page. */
  readonly isTruncated: boolean;
}

/** The store's history no longer reaches back to the requested version; all rows must be read again. */
export class HistoryGoneError extends Error {
  override readonly name = "HistoryGoneError";
  /** The store's present history; see {@link RowsPage.era}. */
  readonly era: number;

  constructor(message: string, era: number) {
    super(message);
    this.era = era;
  }
}

/** Request for the changes of a subject. */
export interface ChangesRequest {
  /** Only changes after this version are returned. */
  readonly version: number;
  /** Longest wait for a change. */
  readonly waitMs: number;
  /** Ends the call, unless its response has begun to arrive. */
  readonly signal: AbortSignal;
  /** Ends the call in any case. */
  readonly cancelSignal?: AbortSignal;
  /** Called when the response begins to arrive. */
  begun?(arrival: () => Arrival): void;
  /** Called when a call has ended. */
  ended?(end: ExchangeEnd): void;
}

/** The platform's store as the gateway uses it. Failed calls reject. */
export interface PlatformPort {
  /** Reads a page of a subject's rows, ordered by key and starting at `from`. */
  list(
    subject: WatchedSubject,
    from: string | undefined,
    options?: Pick<ChangesRequest, "cancelSignal" | "begun" | "ended">,
  ): Promise<RowsPage>;
  /** Waits for changes of a subject; rejects with {@link HistoryGoneError} if the history no longer holds them. */
  changes(
    subject: WatchedSubject,
    request: ChangesRequest,
  ): Promise<RowsPage>;
  /** Decodes all rows of a subject. */
  decode(
    subject: WatchedSubject,
    rows: ReadonlyMap<string, StoredRow>,
  ): readonly PlatformEvent[];
  /** Whether a row was written before another one with its key, by their contents; false if that cannot be told. */
  isOlder(subject: WatchedSubject, row: StoredRow, than: StoredRow): boolean;
  /** Writes the row that registers the local VM. */
  register(member: Member): Promise<void>;
  /** Records what a VM knows of requests that crash targets, in place of what it recorded before. */
  recordCrashes(vm: VmId, reports: readonly CrashReport[]): Promise<void>;
  close(): void;
}

/** A caller's request, as read from its header. */
export interface CallerRequest {
  readonly kind: "request";
  /** Lower-case host name without a port. */
  readonly host: string;
  /** Path without the query. */
  readonly path: string;
  /** The caller's id for this attempt of the request; empty if it gave none. */
  readonly requestId: string;
  /** How long the caller waits for the response; undefined if not given. */
  readonly deadlineMs: number | undefined;
  /** The object that the request concerns, for affinity; undefined if not given. */
  readonly object: string | undefined;
  /** The sender's credential, from the header. */
  readonly credential: Credential;
  /** Headers for the target, names and values alternating, without those added for each attempt. */
  readonly rawHeaders: readonly string[];
  /** Length of the body in bytes; -1 if the header does not give it. */
  readonly contentLength: number;
  readonly chunked: boolean;
}

/** A request that cannot be parsed. */
export interface MalformedRequest {
  readonly kind: "malformed";
  readonly reason: string;
}

/** The header of a target's response. */
export interface TargetResponse {
  readonly status: number;
  /** Headers for the caller, names and values alternating. */
  readonly rawHeaders: string[];
  /** Length of the body in bytes; -1 if the header does not give it. */
  readonly contentLength: number;
  /** The body has chunked transfer encoding: its last chunk marks its end. */
  readonly isChunked: boolean;
  /** Id of the request that the target responds to; undefined if not given. */
  readonly requestId: string | undefined;
  /** The response carries the stamp with which the target confirms that it made it. */
  readonly isStamped: boolean;
  /** The target did not run the request, by its own statement. */
  readonly isNotRun: boolean;
  /** The address belongs to another target now. */
  readonly isOtherTarget: boolean;
  readonly load: LoadReport | undefined;
  /** The target finishes the requests that it has and must get no new ones. */
  readonly isLeaving: boolean;
  /** How long this VM must send nothing to the target, which refused the request; 0 if it asks for no back-off. */
  readonly backOffMs: number;
  /** Requests a second that the target accepts from all VMs together; undefined if it states no limit. */
  readonly limitPerSecond: number | undefined;
}

/** Result of a health probe. */
export interface HealthResponse {
  readonly isHealthy: boolean;
  /** The target that responded; undefined if not given. */
  readonly target: TargetId | undefined;
  readonly coldMs: number;
  /** The id of the request that it responds to; undefined if it names none, as the response to a check. */
  readonly requestId: string | undefined;
}

/** A caller's request for the addresses of VMs to connect to. */
export interface LookupRequest {
  readonly region: RegionId;
  readonly zone: ZoneId;
}

/** Metadata that an attempt sends to its target with the request. */
export interface AttemptMetadata {
  readonly target: TargetId;
  /** Time that remains until the request's deadline. */
  readonly remainingMs: number;
  /** The client account that sent the request; undefined for an anonymous request. */
  readonly account: AccountId | undefined;
}

/** Reads and writes the platform's HTTP headers, paths and bodies. */
export interface Dialect {
  /** With accounts, the headers that name the sender are for the gateway and aren't passed to the target. */
  readRequest(
    req: IncomingMessage,
    options: { readonly hasAccounts: boolean },
  ): CallerRequest | MalformedRequest;
  /** Headers that one attempt adds to those of the request. */
  attemptHeaders(attempt: AttemptMetadata): readonly string[];
  /** Reads the header of a target's response; `raw` has names and values alternating. */
  readResponse(status: number, raw: readonly Uint8Array[]): TargetResponse;
  /** Reads the header of a response to a health probe. */
  readHealthResponse(
    status: number,
    raw: readonly Uint8Array[],
  ): HealthResponse;
  /** Undefined if `url` is not a look-up. */
  readLookup(url: string): LookupRequest | undefined;
  /** JSON body of the reply to a look-up. */
  lookupBody(
    reply: { readonly addresses: readonly string[]; readonly ttlMs: number },
  ): string;
  /** Whether `url` is the readiness check of this VM. */
  isReadinessRequest(url: string): boolean;
}
