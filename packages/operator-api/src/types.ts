/**
 * JSON bodies of the operator listener's requests and responses.
 *
 * | request                              | response                      |
 * | ------------------------------------ | ----------------------------- |
 * | `GET /v1/status`                     | {@link Status}                |
 * | `GET /v1/configuration`              | `Configuration`, 404 before the first |
 * | `GET /v1/presets`                    | {@link PresetSummary} list    |
 * | `GET /v1/presets/NAME[?version=N]`   | `PresetVersion`               |
 * | `GET /v1/presets/NAME/history`       | {@link AuditEntry} list       |
 * | `POST /v1/check` with a preset       | {@link CheckResponse}           |
 * | `POST /v1/changes`                   | {@link ChangeResponse}          |
 * | `GET /v1/audit[?before=R&limit=N]`   | {@link AuditEntry} list, newest first |
 * | `GET /v1/lookup[?zone=Z]`            | {@link LookupResponse}          |
 * | `POST /v1/explain`                   | {@link Explanation}           |
 *
 * Each request needs `authorization: Bearer TOKEN`; the token identifies the operator.
 * The body of an error response is {@link ErrorResponse}.
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

/** An outage: something that is currently unreachable. Ages are durations, never times of day. */
export interface OutageStatus {
  /** What is unreachable, for example `table` or `vm-list`. */
  readonly subject: string;
  /** Duration of the outage so far, in milliseconds. */
  readonly forMs: number;
  /** The last error, without secrets. */
  readonly reason: string;
}

/** State of one VM of the system, as known to the responding VM. */
export interface VmStatus {
  readonly vm: VmId;
  readonly region: RegionId;
  readonly zone: ZoneId;
  readonly state: "live" | "suspect" | "leaving" | "dead" | "drained";
  /** Revision that the VM last confirmed; absent if it has confirmed none. */
  readonly revision?: number;
  /** Age of this information, in milliseconds. */
  readonly ageMs: number;
}

/** One target and whether it receives new requests. */
export interface TargetStatus {
  readonly target: TargetId;
  readonly service: ServiceId;
  readonly region: RegionId;
  readonly zone: ZoneId;
  readonly address: string;
  readonly state: "in" | "out";
  /** Why the target is in or out, as text for people. */
  readonly why: string;
  /** Requests from this VM that the target is processing. */
  readonly inFlight: number;
  /** Slots of the target that this VM may use now. */
  readonly slots: number;
}

/** The plan that this VM follows. */
export interface PlanStatus {
  /** Increases with each plan; 0 if there is none yet. */
  readonly number: number;
  /** The VM that wrote the plan; absent if there is none yet. */
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

/** A request that is held back because its attempts coincided with crashes of targets. */
export interface HeldBackStatus {
  /** Digest of the request; does not reveal its content. */
  readonly fingerprint: string;
  /** Target crashes that coincided with the request. */
  readonly deaths: number;
  /** Time until the request may run again, in milliseconds. */
  readonly forMs: number;
}

/** One supervised task. */
export interface TaskStatus {
  /** Path in the supervisor tree, for example `daemon/peers/listener`. */
  readonly task: string;
  readonly state: "running" | "waiting" | "failed" | "stopped";
  readonly restarts: number;
  /** The last failure, without secrets; absent if there was none. */
  readonly lastError?: string;
}

/** Current state of the daemon. */
export interface Status {
  readonly vm: VmId;
  readonly instance: InstanceId;
  readonly region: RegionId;
  readonly zone: ZoneId;
  readonly ready: boolean;
  readonly leaving: boolean;
  /** Revision in force on this VM; 0 if there is none yet. */
  readonly revision: number;
  /** Preset in force on this VM; absent if there is none yet. */
  readonly preset?: { readonly id: PresetId; readonly version: number };
  readonly vms: readonly VmStatus[];
  readonly plan: PlanStatus;
  readonly targets: readonly TargetStatus[];
  readonly outages: readonly OutageStatus[];
  readonly heldBack: readonly HeldBackStatus[];
  readonly tasks: readonly TaskStatus[];
}

/** An entry of the list of presets. */
export interface PresetSummary {
  readonly id: PresetId;
  readonly version: number;
  readonly about: string;
  readonly inForce: boolean;
}

/** An entry of the audit trail, written in the same transaction as the change. */
export interface AuditEntry {
  readonly revision: number;
  readonly operation: OperationId;
  readonly who: string;
  readonly why: string;
  /** Wall-clock time of the accepting VM in ISO 8601; informational only. */
  readonly at: string;
  readonly change: ChangeSummary;
  /** The configuration before the change; absent for the first change. */
  readonly before?: Configuration;
  /** The configuration after the change. */
  readonly after: Configuration;
}

/** Range of audit entries to read, newest first. */
export interface AuditRange {
  /** Only entries with a lower revision than this; all if absent. */
  readonly before?: number;
  readonly limit: number;
}

/** A change request as the operator's command sends it. */
export interface ChangeRequest {
  /** Idempotency key: a retry with the same id gets the outcome of the first request. */
  readonly operation: OperationId;
  /** The revision that the operator saw; the change is not accepted if another one is in force. */
  readonly seenRevision: number;
  readonly why: string;
  readonly change: Change;
}

/** Outcome of a change request. */
export type ChangeResponse =
  | { readonly kind: "accepted"; readonly revision: number }
  /** Another change was accepted first; nothing was written. */
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
  /** The table's response was lost, so the outcome is unknown; retry with the same operation id. */
  | {
    readonly kind: "unknown";
    readonly reason: string;
    readonly retryAfterMs: number;
  }
  /** The table is unreachable; nothing was written. */
  | {
    readonly kind: "unavailable";
    readonly reason: string;
    readonly retryAfterMs: number;
  };

/** Result of checking a preset; no findings means that it would be accepted. */
export interface CheckResponse {
  readonly findings: readonly Finding[];
}

/** An entry VM in a look-up response. */
export interface LookupVm {
  readonly vm: VmId;
  readonly region: RegionId;
  readonly zone: ZoneId;
  /** Address for callers, `host:port`. */
  readonly caller: string;
}

/** Response to a look-up. */
export interface LookupResponse {
  /** The entry VMs, best first. */
  readonly vms: readonly LookupVm[];
  /** How long a caller may cache the response, in milliseconds. */
  readonly lifetimeMs: number;
}

/** A hypothetical request whose routing is to be explained; it is not sent. */
export interface ExplainRequest {
  readonly method: string;
  readonly path: string;
  /** Name of the caller. */
  readonly caller: string;
}

/** Where a request would be routed now, and why. */
export type Explanation =
  | { readonly kind: "no-route"; readonly why: string }
  | {
    readonly kind: "route";
    readonly route: string;
    readonly service: ServiceId;
    readonly class: string;
    readonly repeat: "idempotent" | "at-most-once";
    readonly deadlineMs: number;
    /** Absent if the request would wait or be refused. */
    readonly target?: TargetId;
    readonly region?: RegionId;
    /** Why this target was chosen, or why there is none. */
    readonly why: string;
  };

/** Body of a response with an error status. */
export interface ErrorResponse {
  readonly message: string;
  readonly findings?: readonly Finding[];
}
