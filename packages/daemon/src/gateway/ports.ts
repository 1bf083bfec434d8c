/**
 * What the gateway needs of the platform it runs on. An adapter implements it.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type {
  InstanceId,
  RegionId,
  ServiceId,
  TargetId,
  VmId,
  ZoneId,
} from "@poplarthread/ids";
import type { LoadReport } from "@poplarthread/placement";
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
}

/** Subjects that the platform keeps and that are watched one by one. */
export type WatchedSubject = "operator" | "targets" | "members";

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
  | { readonly kind: "members"; readonly members: readonly Member[] }
  /** The subject can be watched, or not any more. */
  | {
    readonly kind: "contact";
    readonly subject: WatchedSubject;
    readonly isLost: boolean;
    readonly reason?: string;
  };

/** The platform's store as the gateway uses it. */
export interface PlatformPort {
  /** Watches everything; `listener` hears news until {@link close}. */
  watch(listener: (event: PlatformEvent) => void): void;
  /** Makes this VM known to the others, repeated until it is stored. */
  announce(member: Member): void;
  /** A peer has seen a change that this VM may have missed. */
  hint(subject: WatchedSubject, version: number): void;
  /** The newest version of a subject that this VM has seen. */
  seen(subject: WatchedSubject): number;
  close(): Promise<void>;
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

/** How callers and targets speak. */
export interface Dialect {
  readRequest(req: IncomingMessage): CallerRequest | MalformedRequest;
  /** Lines that one attempt adds to the request's own. */
  attemptLines(
    attempt: { readonly target: TargetId; readonly leftMs: number },
  ): readonly string[];
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
