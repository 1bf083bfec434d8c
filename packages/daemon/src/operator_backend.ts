/**
 * What the operator's listener may ask of the daemon and tell it: plain values
 * that can be answered as JSON, without any knowledge of HTTP.
 *
 * @module
 */

import type { Configuration, PresetVersion } from "@poplarthread/config";
import type { PresetId, ZoneId } from "@poplarthread/ids";
import type {
  AuditEntry,
  AuditRange,
  ChangeRequest,
  ChangeResponse,
  ExplainRequest,
  Explanation,
  LookupResponse,
  PresetSummary,
  Status,
} from "@poplarthread/operator-api";

/** A change with who wants it; both go into the audit trail. */
export interface OperatorChange extends ChangeRequest {
  /** Name of the operator, from the token. */
  readonly who: string;
}

/**
 * The daemon as the operator's listener sees it. Calls that need the table
 * reject with a `TableError` when it is out of reach, except `accept`, which
 * says so in its outcome.
 */
export interface OperatorBackend {
  status(): Status;
  /** What is in force here; undefined before the first is known. */
  configuration(): Configuration | undefined;
  accept(change: OperatorChange): Promise<ChangeResponse>;
  audit(range: AuditRange): Promise<readonly AuditEntry[]>;
  presets(): Promise<readonly PresetSummary[]>;
  /** The latest version, or the one asked for; undefined where there is none. */
  preset(id: PresetId, version?: number): Promise<PresetVersion | undefined>;
  /** The audit entries of its edits and switches, newest first. */
  presetHistory(id: PresetId): Promise<readonly AuditEntry[]>;
  /** The answer that callers in `clientZone` get; without it, in this VM's zone. */
  lookup(clientZone?: ZoneId): LookupResponse;
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
  /** `/readyz`: 200 while a configuration is in force, the fleet and a plan are known and the VM is not leaving. */
  ready(): ProbeAnswer;
  /** `/metrics`: Prometheus text. */
  metrics(): Promise<ProbeAnswer>;
}
