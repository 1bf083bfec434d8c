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
import type { Outages } from "./outages.ts";
import type {
  RegionId,
  ServiceId,
  TargetId,
  VmId,
  ZoneId,
} from "@poplarthread/ids";

/** Location and state of an entry in the platform's VM list. */
interface ListedLocation {
  readonly region: RegionId;
  readonly zone: ZoneId;
  readonly state: "live" | "leaving";
}

/** An entry VM, as the platform lists it. */
export interface ListedEntry extends ListedLocation {
  readonly role: "entry";
  readonly id: VmId;
  /** Address of the callers' listener, `host:port`. */
  readonly caller: string;
  /** Address of the peers' listener, `host:port`. */
  readonly peer: string;
}

/** A target, as the platform lists it. */
export interface ListedTarget extends ListedLocation {
  readonly role: "target";
  readonly id: TargetId;
  readonly service: ServiceId;
  /** `host:port`. */
  readonly address: string;
}

/** One entry of the platform's VM list. */
export type ListedVm = ListedEntry | ListedTarget;

/** Options of {@link PlatformClient}. */
export interface PlatformOptions {
  readonly url: string;
  readonly timeoutMs: number;
  /** Local address of connections; chosen by the operating system if omitted. */
  readonly localAddress?: string;
  readonly outages: Outages;
}

/** Codes of errors that occur before any part of a request is sent. */
const NOT_SENT_ERROR_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);
/** Enough for concurrent group commits, polls and operators' requests. */
const MAX_CONNECTIONS = 8;

/** Calls the platform; every failure is a {@link TableError}. */
export class PlatformClient implements Table {
  readonly #pool: Pool;
  readonly #timeoutMs: number;
  readonly #outages: Outages;

  constructor(options: PlatformOptions) {
    this.#pool = new Pool(options.url, {
      connections: MAX_CONNECTIONS,
      connectTimeout: options.timeoutMs,
      ...(options.localAddress === undefined
        ? {}
        : { localAddress: options.localAddress }),
    });
    this.#timeoutMs = options.timeoutMs;
    this.#outages = options.outages;
  }

  async read(keys: readonly string[]): Promise<readonly Row[]> {
    const response = await this.#call("/table/read", { keys });
    return (response as { rows: Row[] }).rows;
  }

  async scan(prefix: string, options: ScanOptions): Promise<readonly Row[]> {
    const response = await this.#call("/table/scan", { prefix, ...options });
    return (response as { rows: Row[] }).rows;
  }

  async transact(transaction: Transaction): Promise<TransactionResult> {
    return await this.#call(
      "/table/transact",
      transaction,
    ) as TransactionResult;
  }

  /** The list of live and leaving VMs, which lags behind. */
  async listVms(): Promise<readonly ListedVm[]> {
    const response = await this.#call("/vms", undefined);
    return (response as { vms: ListedVm[] }).vms;
  }

  /** Updates this VM's entry in the list. */
  async announce(entry: ListedEntry): Promise<void> {
    const path = `/vms/${entry.id}`;
    try {
      const res = await this.#pool.request({
        path,
        method: "PUT",
        body: JSON.stringify(entry),
        signal: AbortSignal.timeout(this.#timeoutMs),
      });
      await res.body.dump();
    } catch (err) {
      throw toTableError(path, err as Error);
    }
  }

  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  async #call(path: string, body: unknown): Promise<unknown> {
    const subject = path === "/vms" ? "vm-list" : "table";
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
      const response = await res.body.json();
      this.#outages.succeeded(subject);
      return response;
    } catch (err) {
      const failure = toTableError(path, err as Error & { code?: string });
      this.#outages.failed(subject, failure.message);
      throw failure;
    }
  }
}

function toTableError(
  path: string,
  err: Error & { code?: string },
): TableError {
  if (err instanceof TableError) {
    return err;
  }
  const effect = NOT_SENT_ERROR_CODES.has(err.code ?? "") ? "none" : "unknown";
  return new TableError(`Cannot call ${path}: ${err.message}`, effect);
}
