/**
 * What the operator's listener may ask of the daemon and tell it: plain values
 * that can be answered as JSON, without any knowledge of HTTP.
 *
 * @module
 */

import type { Configuration, DrainSubject, Preset } from "@poplarthread/config";
import type {
  InstanceId,
  OperationId,
  PresetId,
  RegionId,
  ServiceId,
  TargetId,
  VmId,
  ZoneId,
} from "@poplarthread/ids";

/** Something that cannot be reached now. Ages are durations, never times of day. */
export interface OutageStatus {
  /** What is out of reach, for example `table` or `vm-list`. */
  readonly subject: string;
  /** How long it has been out of reach, in milliseconds. */
  readonly forMs: number;
  /** The last error, without secrets. */
  readonly reason: string;
}

/** One VM of the system, as this VM sees it. */
export interface VmStatus {
  readonly vm: VmId;
  readonly region: RegionId;
  readonly zone: ZoneId;
  readonly state: "live" | "suspect" | "leaving" | "dead" | "drained";
  /** Revision that the VM last confirmed; absent where it never did. */
  readonly revision?: number;
  /** Age of what is known, in milliseconds. */
  readonly ageMs: number;
}

/** One target and whether it gets new work. */
export interface TargetStatus {
  readonly target: TargetId;
  readonly service: ServiceId;
  readonly region: RegionId;
  readonly zone: ZoneId;
  readonly address: string;
  readonly state: "in" | "out";
  /** Why it is in or out, in words. */
  readonly why: string;
  /** Requests of this VM that it works on now. */
  readonly inFlight: number;
  /** Slots of it that this VM may use now. */
  readonly slots: number;
}

/** The plan that this VM follows. */
export interface PlanStatus {
  /** Grows with each plan; 0 where there is none yet. */
  readonly number: number;
  /** Who wrote it; absent where there is none yet. */
  readonly planner?: VmId;
  /** Whether this VM holds the planner's lease. */
  readonly planning: boolean;
  /** Slots that the plan lets this VM use, by service and region. */
  readonly allotments: readonly {
    readonly service: ServiceId;
    readonly region: RegionId;
    readonly slots: number;
  }[];
}

/** A request that is not run because it coincided with deaths of targets. */
export interface HeldBackStatus {
  /** Digest of the request; says nothing of its content. */
  readonly fingerprint: string;
  readonly deaths: number;
  /** Until it may run again, in milliseconds. */
  readonly forMs: number;
}

/** One supervised task. */
export interface TaskStatus {
  /** Path in the supervisor tree, for example `daemon/peers/listener`. */
  readonly task: string;
  readonly state: "running" | "waiting" | "failed" | "stopped";
  readonly restarts: number;
  /** The last failure, without secrets; absent where there was none. */
  readonly lastError?: string;
}

/** The daemon as a whole, as of now. */
export interface Status {
  readonly vm: VmId;
  readonly instance: InstanceId;
  readonly region: RegionId;
  readonly zone: ZoneId;
  readonly ready: boolean;
  readonly leaving: boolean;
  /** Revision in force here; 0 where there is none yet. */
  readonly revision: number;
  /** Preset in force here; absent where there is none yet. */
  readonly preset?: { readonly id: PresetId; readonly version: number };
  readonly vms: readonly VmStatus[];
  readonly plan: PlanStatus;
  readonly targets: readonly TargetStatus[];
  readonly outages: readonly OutageStatus[];
  readonly heldBack: readonly HeldBackStatus[];
  readonly tasks: readonly TaskStatus[];
}

/** What an operator wants changed. */
export type ChangeRequest =
  /** Makes a preset, or a new version of it; in force at once if it is the one in force. */
  | {
    readonly kind: "edit-preset";
    readonly preset: Preset;
    /** Version the operator edited; 0 for a new preset. */
    readonly baseVersion: number;
  }
  | { readonly kind: "switch-preset"; readonly preset: PresetId }
  | { readonly kind: "drain"; readonly subject: DrainSubject }
  | { readonly kind: "undrain"; readonly subject: DrainSubject };

/** A change with who wants it and why; both go into the audit trail. */
export interface OperatorChange {
  /** Chosen by the operator's command; a retry after a lost answer carries the same. */
  readonly operation: OperationId;
  /** Name of the operator, from the token. */
  readonly who: string;
  readonly why: string;
  /** Revision that the operator saw; another one in force is a conflict. Absent: any. */
  readonly seenRevision?: number;
  readonly change: ChangeRequest;
}

/** What became of a change. */
export type ChangeOutcome =
  /** Accepted, now or by an earlier try of the same operation. */
  | { readonly kind: "accepted"; readonly revision: number }
  /** Someone else's change won; nothing of this one was written. */
  | {
    readonly kind: "conflict";
    readonly revision: number;
    readonly wonBy?: AuditEntry;
  }
  /** Nothing was written, and trying again as it is won't help. */
  | { readonly kind: "refused"; readonly reason: string }
  /** The table is out of reach; nothing was written. */
  | { readonly kind: "unavailable"; readonly reason: string }
  /** The answer was lost; the same operation id finds out. */
  | { readonly kind: "unknown"; readonly reason: string };

/** One line of the audit trail. */
export interface AuditEntry {
  readonly revision: number;
  readonly operation: OperationId;
  readonly who: string;
  readonly why: string;
  /** What was done, in words, for example `switch to peak`. */
  readonly what: string;
  /** Wall-clock time at the VM that accepted it, ISO 8601; for people only. */
  readonly at: string;
  readonly before: unknown;
  readonly after: unknown;
}

/** Which audit entries to read, oldest first. */
export interface AuditRange {
  /** Only entries with a higher revision. */
  readonly afterRevision: number;
  readonly limit: number;
}

/** One preset in a list. */
export interface PresetSummary {
  readonly id: PresetId;
  readonly version: number;
  readonly about: string;
  readonly inForce: boolean;
}

/** One version of a preset. */
export interface PresetVersion {
  readonly version: number;
  readonly preset: Preset;
}

/** One entry VM in a look-up's answer, best first. */
export interface LookupVm {
  readonly vm: VmId;
  readonly region: RegionId;
  readonly zone: ZoneId;
  /** Address for callers, `host:port`. */
  readonly caller: string;
}

/** A look-up's answer. */
export interface LookupAnswer {
  readonly vms: readonly LookupVm[];
  /** How long a caller may cache it, in milliseconds. */
  readonly lifetimeMs: number;
}

/** A request to explain; it is not sent. */
export interface ExplainRequest {
  readonly method: string;
  readonly path: string;
  /** Name of the caller. */
  readonly caller: string;
}

/** Where a request would go now, and why. */
export type Explanation =
  | { readonly kind: "no-route"; readonly why: string }
  | {
    readonly kind: "route";
    readonly route: string;
    readonly service: ServiceId;
    readonly class: string;
    readonly repeat: "idempotent" | "at-most-once";
    readonly deadlineMs: number;
    /** Absent where it would wait or be refused. */
    readonly target?: TargetId;
    readonly region?: RegionId;
    /** Why this target, or why none. */
    readonly why: string;
  };

/**
 * The daemon as the operator's listener sees it. Calls that need the table
 * reject with a `TableError` when it is out of reach, except `accept`, which
 * says so in its outcome.
 */
export interface OperatorBackend {
  status(): Status;
  /** What is in force here; undefined before the first is known. */
  configuration(): Configuration | undefined;
  accept(change: OperatorChange): Promise<ChangeOutcome>;
  audit(range: AuditRange): Promise<readonly AuditEntry[]>;
  presets(): Promise<readonly PresetSummary[]>;
  /** The latest version, or the one asked for; undefined where there is none. */
  preset(id: PresetId, version?: number): Promise<PresetVersion | undefined>;
  /** All versions, newest first. */
  presetHistory(id: PresetId): Promise<readonly PresetVersion[]>;
  /** The answer that callers in `clientZone` get; without it, in this VM's zone. */
  lookup(clientZone?: ZoneId): LookupAnswer;
  explain(request: ExplainRequest): Explanation;
}

/** What a probe answers. */
export interface ProbeAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** The probes that the operator's listener serves without a token. */
export interface ProbeHandlers {
  /** `/healthz`: 200 while the supervisor tree runs. */
  health(): ProbeAnswer;
  /** `/readyz`: 200 while a configuration is in force and the VM is not leaving. */
  ready(): ProbeAnswer;
  /** `/metrics`: Prometheus text. */
  metrics(): Promise<ProbeAnswer>;
}
