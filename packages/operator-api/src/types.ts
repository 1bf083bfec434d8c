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
  Configuration,
  DrainSubject,
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

/** A VM of the system, as the asked VM knows it. */
export interface VmStatus {
  readonly vm: VmId;
  readonly region: RegionId;
  readonly zone: ZoneId;
  /** Undefined until the VM was heard of by more than the platform's list. */
  readonly instance: InstanceId | undefined;
  readonly state: "live" | "suspect" | "leaving" | "dead";
  /** Highest revision that this VM is known to run; 0 when unknown. */
  readonly revision: number;
}

/** A target, and whether it gets new work. */
export interface TargetStatus {
  readonly target: TargetId;
  readonly service: ServiceId;
  readonly zone: ZoneId;
  readonly state: "in" | "out";
  /** Why, for people. */
  readonly reason: string;
}

/** One task of the supervisor tree. */
export interface TaskStatus {
  readonly task: string;
  readonly state: "running" | "backing-off" | "failed" | "stopped";
  readonly restarts: number;
}

/** What one VM knows of the whole system. */
export interface Status {
  readonly vm: VmId;
  readonly instance: InstanceId;
  readonly region: RegionId;
  readonly zone: ZoneId;
  readonly ready: boolean;
  readonly leaving: boolean;
  /** Revision in force on this VM; 0 before the first. */
  readonly revision: number;
  readonly preset: PresetId | undefined;
  readonly presetVersion: number;
  readonly drains: readonly DrainSubject[];
  readonly vms: readonly VmStatus[];
  readonly targets: readonly TargetStatus[];
  /** The plan by lines for people; empty without one. */
  readonly plan: readonly string[];
  /** What is out of reach, for people; empty on a good day. */
  readonly outages: readonly string[];
  /** Number of requests held back because they coincided with target deaths. */
  readonly heldBack: number;
  readonly tasks: readonly TaskStatus[];
}

/** One preset and its place. */
export interface PresetSummary {
  readonly preset: PresetId;
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
  readonly change: Change;
  readonly before: Configuration | undefined;
  readonly after: Configuration;
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
    readonly won: AuditEntry | undefined;
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

/** The look-up's answer, as callers get it. */
export interface LookupAnswer {
  readonly lifetimeMs: number;
  readonly revision: number;
  /** Best first. */
  readonly vms: readonly {
    readonly vm: VmId;
    readonly region: RegionId;
    readonly zone: ZoneId;
    /** `host:port` of the callers' listener. */
    readonly address: string;
  }[];
}

/** A request to explain; nothing is sent anywhere. */
export interface ExplainRequest {
  readonly method: string;
  readonly path: string;
  readonly caller?: string;
}

/** Where a request would go now, and why. */
export interface Explanation {
  readonly route: string | undefined;
  readonly service: ServiceId | undefined;
  readonly class: string | undefined;
  readonly target: TargetId | undefined;
  /** The decisions in order, for people. */
  readonly reasons: readonly string[];
}

/** Body of an answer with an error status. */
export interface ErrorAnswer {
  readonly message: string;
  readonly findings?: readonly Finding[];
}
