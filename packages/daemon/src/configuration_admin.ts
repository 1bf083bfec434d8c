/**
 * Reads and changes presets and drains in the table on behalf of operators.
 *
 * @module
 */

import {
  applyChange,
  type Change,
  type ChangeBase,
  type ChangeSummary,
  type Configuration,
  presetIdOf,
  type PresetVersion,
} from "@poplarthread/config";
import {
  ABSENT,
  type AcceptOutcome,
  type AuditEntry as StoredAuditEntry,
  auditKey,
  ConfigurationStore,
  IN_FORCE_KEY,
  type InForce,
  operationKey,
  type OperationRow,
  type Row,
  type Table,
  TableError,
} from "@poplarthread/coordination";
import type { PresetId } from "@poplarthread/ids";
import type {
  AuditEntry,
  AuditRange,
  ChangeResponse,
  PresetSummary,
} from "@poplarthread/operator-api";
import {
  configurationOf,
  type InForceJson,
  inForceValue,
  LATEST_PREFIX,
  latestKey,
  presetWrites,
  versionKey,
  versionsPrefix,
} from "./in_force_value.ts";
import type { OperatorChange } from "./operator_backend.ts";

/** A restored table responds at once; 2 s keep the number of retries low. */
const RETRY_AFTER_MS = 2_000;
/** Well above the number of presets or versions that operators keep. */
const MAX_ROWS = 1_000;

/** Rows that a change is based on, read in one call so that they are consistent. */
interface CurrentState extends ChangeBase {
  /** The stored outcome of this operation, if an earlier attempt was accepted. */
  readonly operation: OperationRow | undefined;
}

/** Reads and changes presets and drains in the table. */
export class ConfigurationAdmin {
  readonly #table: Table;
  readonly #store: ConfigurationStore<InForceJson>;

  constructor(table: Table) {
    this.#table = table;
    this.#store = new ConfigurationStore(table);
  }

  /** Accepts a change or returns why not; does not throw if the table is unreachable. */
  async accept(request: OperatorChange): Promise<ChangeResponse> {
    try {
      return await this.#accept(request);
    } catch (err) {
      if (err instanceof TableError) {
        // Only reads can throw here, as the store returns errors of its writes as
        // outcomes, so nothing was written.
        return unavailable();
      }
      throw err;
    }
  }

  /** Audit entries, newest first. Throws TableError. */
  async audit(range: AuditRange): Promise<readonly AuditEntry[]> {
    const inForce = await this.#store.read();
    const newest = Math.min(
      (range.before ?? Infinity) - 1,
      inForce?.revision ?? 0,
    );
    const afterRevision = Math.max(0, newest - range.limit);
    const limit = newest - afterRevision;
    if (limit <= 0) {
      return [];
    }
    const entries = await this.#store.audit({ afterRevision, limit });
    return entries.map(toAuditEntry).reverse();
  }

  /** The latest version of every preset. Throws TableError. */
  async presets(): Promise<readonly PresetSummary[]> {
    const rows = await this.#table.scan(LATEST_PREFIX, { limit: MAX_ROWS });
    const inForce = await this.#store.read();
    return rows.map((row) => {
      const { version, preset } = row.value as unknown as PresetVersion;
      return {
        id: preset.id,
        version,
        about: preset.about,
        inForce: preset.id === inForce?.value.preset.id,
      };
    });
  }

  /** A version of a preset, by default the latest. Throws TableError. */
  async preset(
    id: PresetId,
    version?: number,
  ): Promise<PresetVersion | undefined> {
    const key = version === undefined ? latestKey(id) : versionKey(id, version);
    const [row] = await this.#table.read([key]);
    return valueOf<PresetVersion>(row!);
  }

  /** The audit entries that wrote versions of a preset, newest first. Throws TableError. */
  async presetHistory(id: PresetId): Promise<readonly AuditEntry[]> {
    const versions = await this.#table.scan(versionsPrefix(id), {
      limit: MAX_ROWS,
    });
    const revisions = versions.map((row) =>
      (row.value as unknown as PresetVersion).revision
    );
    const rows = await this.#table.read(revisions.map(auditKey));
    return rows
      .flatMap((row) => valueOf<StoredAuditEntry<InForceJson>>(row) ?? [])
      .map(toAuditEntry)
      .reverse();
  }

  async #accept(request: OperatorChange): Promise<ChangeResponse> {
    const { change, seenRevision, operation: operationId } = request;
    const current = await this.#readCurrentState(request);
    if (current.operation !== undefined) {
      return await this.#earlierOutcome(current.operation, change);
    }
    const revision = current.inForce?.revision ?? 0;
    if (revision !== seenRevision) {
      return await this.#conflict(seenRevision, revision);
    }
    const result = applyChange(current, change);
    if (result.kind === "refused") {
      return { kind: "refused", reason: result.reason, findings: [] };
    }
    const value = inForceValue(result.inForce, result.summary);
    const rows = result.stored === undefined ? [] : presetWrites(result.stored);
    const { who, why } = request;
    const outcome = await this.#store.accept(
      { value, rows },
      { seenRevision, operationId, who, why },
    );
    return toResponse(outcome);
  }

  async #readCurrentState(
    { operation, change }: OperatorChange,
  ): Promise<CurrentState> {
    const preset = presetIdOf(change);
    const keys = [IN_FORCE_KEY, operationKey(operation)];
    if (preset !== undefined) {
      keys.push(latestKey(preset));
    }
    const [inForce, operationRow, latest] = await this.#table.read(keys);
    const value = valueOf<InForce<InForceJson>>(inForce!);
    return {
      inForce: value === undefined ? undefined : configurationOf(value),
      operation: valueOf<OperationRow>(operationRow!),
      latest: latest === undefined ? undefined : valueOf(latest),
    };
  }

  /**
   * A retry after a lost response. The first attempt has raised the revision, so
   * the requested change cannot be derived again from the configuration in force.
   * The audit entry of the first attempt shows whether it was the same change.
   */
  async #earlierOutcome(
    { revision }: OperationRow,
    change: Change,
  ): Promise<ChangeResponse> {
    const entry = await this.#auditEntry(revision);
    if (entry !== undefined && isSameChange(entry.change, change)) {
      return { kind: "accepted", revision };
    }
    const reason =
      `the operation id was used for another change, revision ${revision}`;
    return { kind: "refused", reason, findings: [] };
  }

  async #conflict(
    seenRevision: number,
    revision: number,
  ): Promise<ChangeResponse> {
    const won = await this.#auditEntry(seenRevision + 1);
    return { kind: "conflict", revision, won };
  }

  async #auditEntry(revision: number): Promise<AuditEntry | undefined> {
    const [row] = await this.#table.read([auditKey(revision)]);
    const entry = valueOf<StoredAuditEntry<InForceJson>>(row!);
    return entry === undefined ? undefined : toAuditEntry(entry);
  }
}

function valueOf<T>(row: Row): T | undefined {
  return row.version === ABSENT ? undefined : row.value as unknown as T;
}

function toAuditEntry(entry: StoredAuditEntry<InForceJson>): AuditEntry {
  const { revision, operationId, who, why, at, before, after } = entry;
  return {
    revision,
    operation: operationId,
    who,
    why,
    at,
    change: after.change,
    before: before === null
      ? undefined
      : toConfiguration(revision - 1, operationId, before),
    after: toConfiguration(revision, operationId, after),
  };
}

function toConfiguration(
  revision: number,
  operationId: InForce<InForceJson>["operationId"],
  value: InForceJson,
): Configuration {
  return configurationOf({ revision, operationId, value });
}

function toResponse(outcome: AcceptOutcome<InForceJson>): ChangeResponse {
  switch (outcome.kind) {
    case "accepted":
      return outcome;
    case "superseded": {
      const won = outcome.winner && toAuditEntry(outcome.winner);
      return { kind: "conflict", revision: outcome.revision, won };
    }
    case "operation-reused":
      return {
        kind: "refused",
        reason: "the operation id was used for another change",
        findings: [],
      };
    case "not-accepted":
      return unavailable();
    case "unknown":
      return {
        kind: "unknown",
        reason:
          "the table's response was lost; retry with the same operation id",
        retryAfterMs: RETRY_AFTER_MS,
      };
  }
}

function unavailable(): ChangeResponse {
  return {
    kind: "unavailable",
    reason: "the table is unreachable; nothing was written",
    retryAfterMs: RETRY_AFTER_MS,
  };
}

function isSameChange(summary: ChangeSummary, change: Change): boolean {
  switch (change.kind) {
    case "edit":
      return summary.kind === "edit" && summary.preset === change.preset.id;
    case "switch":
      return summary.kind === "switch" && summary.preset === change.preset;
    case "drain":
    case "undrain":
      return summary.kind === change.kind &&
        summary.subject.kind === change.subject.kind &&
        summary.subject.id === change.subject.id;
  }
}
