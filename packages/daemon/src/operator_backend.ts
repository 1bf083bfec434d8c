/**
 * Operations of the daemon that the operators' listener uses. They return plain
 * values that can be sent as JSON, and do not depend on HTTP.
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

/** A change and who requests it; both are written to the audit trail. */
export interface OperatorChange extends ChangeRequest {
  /** Name of the operator, from the token. */
  readonly who: string;
}

/**
 * Interface of the daemon to the operators' listener. Calls that need the table
 * reject with a `TableError` if it is unreachable, except `accept`, which returns
 * that as its outcome.
 */
export interface OperatorBackend {
  status(): Status;
  /** The configuration in force on this VM; undefined before the first one. */
  configuration(): Configuration | undefined;
  accept(change: OperatorChange): Promise<ChangeResponse>;
  audit(range: AuditRange): Promise<readonly AuditEntry[]>;
  presets(): Promise<readonly PresetSummary[]>;
  /** The given version of a preset, or the latest; undefined if there is none. */
  preset(id: PresetId, version?: number): Promise<PresetVersion | undefined>;
  /** The audit entries that wrote versions of a preset, newest first. */
  presetHistory(id: PresetId): Promise<readonly AuditEntry[]>;
  /** The response for callers in `clientZone`, or in this VM's zone if omitted. */
  lookup(clientZone?: ZoneId): LookupResponse;
  explain(request: ExplainRequest): Explanation;
}

/** Response of a probe. */
export interface ProbeResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Handlers of the probes that the operators' listener serves without a token. */
export interface ProbeHandlers {
  /** `/healthz`: 200 while the supervisor tree runs. */
  health(): ProbeResponse;
  /** `/readyz`: 200 while a configuration is in force, the fleet and a plan are known and the VM is not leaving. */
  ready(): ProbeResponse;
  /** `/metrics`: Prometheus text. */
  metrics(): Promise<ProbeResponse>;
}
