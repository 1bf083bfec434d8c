/**
 * The adapter to the platform: its table, its object store and its VM list
 * over HTTP.
 *
 * @module
 */

import { Pool } from "undici";
import {
  type Row,
  type ScanOptions,
  type Table,
  TableError,
  type Transaction,
  type TransactionResult,
} from "@poplarthread/coordination";
import type {
  RegionId,
  ServiceId,
  TargetId,
  VmId,
  ZoneId,
} from "@poplarthread/ids";

/** Where a VM of the platform's list is and whether it is leaving. */
interface ListedPlace {
  readonly region: RegionId;
  readonly zone: ZoneId;
  readonly state: "live" | "leaving";
}

/** A VM of the system, as the platform lists it. */
export interface ListedEntry extends ListedPlace {
  readonly role: "entry";
  readonly id: VmId;
  /** Address of the callers' listener, `host:port`. */
  readonly caller: string;
  /** Address of the peers' listener, `host:port`. */
  readonly peer: string;
}

/** A target, as the platform lists it. */
export interface ListedTarget extends ListedPlace {
  readonly role: "target";
  readonly id: TargetId;
  readonly service: ServiceId;
  /** `host:port`. */
  readonly address: string;
}

/** One line of the platform's VM list. */
export type ListedVm = ListedEntry | ListedTarget;

/** Where the platform is and how long one answer may take. */
export interface PlatformOptions {
  readonly url: string;
  readonly timeoutMs: number;
}

/** Calls the platform; every failure is a {@link TableError}. */
export class PlatformClient implements Table {
  readonly #pool: Pool;
  readonly #timeoutMs: number;

  constructor(options: PlatformOptions) {
    this.#pool = new Pool(options.url, { connections: 8 });
    this.#timeoutMs = options.timeoutMs;
  }

  async read(keys: readonly string[]): Promise<readonly Row[]> {
    const answer = await this.#call("/table/read", { keys });
    return (answer as { rows: Row[] }).rows;
  }

  async scan(prefix: string, options: ScanOptions): Promise<readonly Row[]> {
    const answer = await this.#call("/table/scan", { prefix, ...options });
    return (answer as { rows: Row[] }).rows;
  }

  async transact(transaction: Transaction): Promise<TransactionResult> {
    return await this.#call(
      "/table/transact",
      transaction,
    ) as TransactionResult;
  }

  /** The list of live and leaving VMs; it lags. */
  async listVms(): Promise<readonly ListedVm[]> {
    const answer = await this.#call("/vms", undefined);
    return (answer as { vms: ListedVm[] }).vms;
  }

  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  async #call(path: string, body: unknown): Promise<unknown> {
    try {
      const res = await this.#pool.request({
        path,
        method: body === undefined ? "GET" : "POST",
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(this.#timeoutMs),
      });
      if (res.statusCode !== 200) {
        await res.body.dump();
        throw new TableError(
          `Cannot call ${path}: status ${res.statusCode}`,
          "unknown",
        );
      }
      return await res.body.json();
    } catch (err) {
      if (err instanceof TableError) {
        throw err;
      }
      throw new TableError(
        `Cannot call ${path}: ${(err as Error).message}`,
        "unknown",
      );
    }
  }
}
