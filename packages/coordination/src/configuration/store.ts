/**
 * Writes accepted changes to the table, and reads the configuration in force
 * and the audit trail from it.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { type Json, type Table, TableError } from "../table.ts";
import {
  type AcceptEvent,
  type AcceptOutcome,
  type AcceptStep,
  advanceAcceptance,
  startAcceptance,
} from "./acceptance.ts";
import {
  AUDIT_PREFIX,
  type AuditEntry,
  auditKey,
  type Change,
  type ChangeOrigin,
  IN_FORCE_KEY,
  type InForce,
  inForceFromRow,
} from "./in_force.ts";

/** An operator whose request takes longer than this retries it anyway. */
const ACCEPT_TIMEOUT_MS = 10_000;
/** Delay after a failed call to the table; limits the added load to two calls a second. */
const RETRY_MS = 500;

/** Options of a {@link ConfigurationStore}. */
export interface ConfigurationStoreOptions {
  /** Time after which `accept` returns "unknown" or "not-accepted"; 10 s by default. */
  readonly acceptTimeoutMs?: number;
}

/** Selects a page of the audit trail. */
export interface AuditPage {
  /** Only entries with a higher revision than this; 0 by default. */
  readonly afterRevision?: number;
  readonly limit: number;
}

/** The versioned configuration stored in the table. */
export class ConfigurationStore<Value extends Json> {
  readonly #table: Table;
  readonly #acceptTimeoutMs: number;

  constructor(table: Table, options: ConfigurationStoreOptions = {}) {
    this.#table = table;
    this.#acceptTimeoutMs = options.acceptTimeoutMs ?? ACCEPT_TIMEOUT_MS;
  }

  /**
   * Reads the configuration in force; undefined before the first change. Throws
   * TableError.
   */
  async read(): Promise<InForce<Value> | undefined> {
    const [row] = await this.#table.read([IN_FORCE_KEY]);
    return inForceFromRow(row!);
  }

  /**
   * Puts a change in force if it is based on the latest revision. An unreachable
   * table is not an error: it shows in the outcome.
   */
  async accept(
    change: Change<Value>,
    origin: ChangeOrigin,
  ): Promise<AcceptOutcome<Value>> {
    const deadline = performance.now() + this.#acceptTimeoutMs;
    let state = startAcceptance(change, origin, {
      changeDigest: digestOf(change),
      at: new Date().toISOString(),
    });
    while (state.step.kind !== "done") {
      const event = await this.#perform(state.step);
      state = advanceAcceptance(state, event);
      if (event.kind === "failed") {
        await new Promise((resolve) => setTimeout(resolve, RETRY_MS));
      }
      if (performance.now() >= deadline) {
        state = advanceAcceptance(state, { kind: "expired" });
      }
    }
    return state.step.outcome;
  }

  /** Reads audit entries in order of revision. Throws TableError. */
  async audit(page: AuditPage): Promise<readonly AuditEntry<Value>[]> {
    const { afterRevision = 0, limit } = page;
    const after = auditKey(afterRevision);
    const rows = await this.#table.scan(AUDIT_PREFIX, { after, limit });
    return rows.map((row) => row.value as unknown as AuditEntry<Value>);
  }

  async #perform(
    step: Exclude<AcceptStep<Value>, { kind: "done" }>,
  ): Promise<AcceptEvent> {
    try {
      switch (step.kind) {
        case "read":
          return { kind: "rows", rows: await this.#table.read(step.keys) };
        case "transact": {
          const result = await this.#table.transact(step.transaction);
          return { kind: "result", result };
        }
      }
    } catch (err) {
      if (err instanceof TableError) {
        return { kind: "failed", effect: err.effect };
      }
      throw err;
    }
  }
}

function digestOf(change: Change<Json>): string {
  const text = JSON.stringify([change.value, change.rows ?? []]);
  return createHash("sha256").update(text).digest("hex");
}
