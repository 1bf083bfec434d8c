/**
 * What goes over the operator listener: JSON bodies of requests and answers.
 *
 * | request                              | answer                        |
 * | ------------------------------------ | ----------------------------- |
 * | `GET /v1/status`                     | {@link Status}                |
 * | `GET /v1/configuration`              | `Configuration`, 404 before the first |
 * | `GET /v1/presets`                    | {@link PresetSummary} list    |
 * | `GET /v1/presets/NAME[?version=N]`   | `PresetVersion`               |
 * | `GET /v1/presets/NAME/history`       | {@link AuditEntry} list       |
 * | `POST /v1/check` with a preset       | {@link CheckAnswer}           |
 * | `POST /v1/changes`                   | {@link ChangeAnswer}          |
 * | `GET /v1/audit[?before=R&limit=N]`   | {@link AuditEntry} list, newest first |
 * | `GET /v1/lookup[?zone=Z]`            | {@link LookupAnswer}          |
 * | `POST /v1/explain`                   | {@link Explanation}           |
 *
 * Each needs `authorization: Bearer TOKEN`; the token says who the operator is.
 * An error answers {@link ErrorAnswer} with a fitting status.
 *
 * @module
 */

import type {
  Change,
  ChangeSummary,
  Configuration,
  Finding,
} from "@poplarthread/config";
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

/** One preset in a list. */
export interface PresetSummary {
  readonly id: PresetId;
  readonly version: number;
  readonly about: string;
  readonly inForce: boolean;
}

/** One line of the audit trail, written in the transaction of the change itself. */
export interface AuditEntry {
  readonly revision: number;
  readonly operation: OperationId;
  readonly who: string;
  readonly why: string;
  /** Wall-clock time of the accepting VM, ISO 8601; for people only. */
  readonly at: string;
  readonly change: ChangeSummary;
  /** Absent before the very first change. */
  readonly before?: Configuration;
  readonly after: Configuration;
}

/** Which audit entries to read, newest first. */
export interface AuditRange {
  /** Only entries with a lower revision; all where absent. */
  readonly before?: number;
  readonly limit: number;
}

/** A change, as the operator's command sends it. */
export interface ChangeRequest {
  /** A retry carries the same id and gets the first outcome. */
  readonly operation: OperationId;
  /** The revision that the operator saw; the change is refused if another is in force. */
  readonly seenRevision: number;
  readonly why: string;
  readonly change: Change;
}

/** What became of a change. */
export type ChangeAnswer =
  | { readonly kind: "accepted"; readonly revision: number }
  /** Another change was accepted first: nothing was written. */
  | {
    readonly kind: "conflict";
    readonly won?: AuditEntry;
    readonly revision: number;
  }
  | {
    readonly kind: "refused";
    readonly reason: string;
    readonly findings: readonly Finding[];
  }
  /** The table's answer was lost: ask again with the same operation id. */
  | {
    readonly kind: "unknown";
    readonly reason: string;
    readonly retryAfterMs: number;
  }
  /** The table is out of reach: nothing was written. */
  | {
    readonly kind: "unavailable";
    readonly reason: string;
    readonly retryAfterMs: number;
  };

/** Findings of a preset; none means that it would be accepted. */
export interface CheckAnswer {
  readonly findings: readonly Finding[];
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

/** Body of an answer with an error status. */
export interface ErrorAnswer {
  readonly message: string;
  readonly findings?: readonly Finding[];
}
