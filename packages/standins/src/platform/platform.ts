/**
 * A stand-in for the platform: a transactional table, an object store and the
 * VM list over HTTP. It can simulate the faults of the real platform.
 *
 * Protocol; bodies are JSON except those of objects:
 *
 * - `POST /table/read {keys}` returns `{rows}`;
 * - `POST /table/scan {prefix, after?, limit}` returns `{rows}`;
 * - `POST /table/transact {conditions, writes}` returns a `TransactionResult`; a
 *   write without `value` deletes the row;
 * - `PUT /objects/NAME`, `GET /objects/NAME` store and return an object's bytes;
 * - `GET /vms` returns `{vms}`, the live and leaving VMs as of `listLagMs` ago;
 * - `PUT /vms/ID` adds or updates a VM, `DELETE /vms/ID` removes it;
 * - `PUT /faults` sets the given faults and leaves the others unchanged;
 * - `GET /counts` returns the counts of calls.
 *
 * A call that exceeds the limit on reads or writes is refused with 429 and has
 * no effect.
 *
 * @module
 */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { Buffer } from "node:buffer";
import { MemoryTable, type Transaction } from "@poplarthread/coordination";
import { readBytes, readJson, sendJson } from "../http_json.ts";
import {
  type Faults,
  NO_FAULTS,
  type PlatformCounts,
  RateLimiter,
} from "./faults.ts";
import { LaggingVmList } from "./vm_list.ts";

/** A call to the table or the object store. */
interface StoreRequest {
  readonly kind: "table" | "objects";
  /** The table operation or the object name. */
  readonly name: string;
  readonly isWrite: boolean;
  readonly body: Buffer;
}

class Platform {
  readonly #table = new MemoryTable();
  readonly #objects = new Map<string, Buffer>();
  readonly #vmList = new LaggingVmList();
  readonly #rateLimiters = {
    reads: new RateLimiter(),
    writes: new RateLimiter(),
  };
  readonly #counts: PlatformCounts = {
    reads: 0,
    writes: 0,
    throttled: 0,
    responsesLost: 0,
    listReads: 0,
  };
  #faults = NO_FAULTS;

  async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const kind = req.url!.split("/")[1];
    switch (kind) {
      case "table":
      case "objects":
        return await this.#serveStore(kind, req, res);
      case "vms":
        return await this.#serveVms(req, res);
      case "faults": {
        const faults = await readJson(req) as Partial<Faults>;
        this.#faults = { ...this.#faults, ...faults };
        return sendJson(res, 200, this.#faults);
      }
      case "counts":
        return sendJson(res, 200, this.#counts);
      default:
        return sendJson(res, 404, {});
    }
  }

  async #serveStore(
    kind: StoreRequest["kind"],
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const name = req.url!.split("/")[2] ?? "";
    const body = await readBytes(req);
    const isWrite = kind === "table"
      ? name === "transact"
      : req.method === "PUT";
    const { store, delayMs } = this.#faults;
    if (store === "hang") {
      return;
    }
    if (store === "down") {
      res.destroy();
      return;
    }
    if (!this.#checkRateLimit(isWrite)) {
      return sendJson(res, 429, { message: "rate limit exceeded" });
    }
    const sendResponse = await this.#apply({ kind, name, isWrite, body });
    if (delayMs > 0) {
      await sleep(delayMs);
    }
    if (store === "lose-answers" && isWrite) {
      this.#counts.responsesLost += 1;
      res.destroy();
      return;
    }
    sendResponse(res);
  }

  #checkRateLimit(isWrite: boolean): boolean {
    const { writesPerSecond, readsPerSecond } = this.#faults;
    const now = performance.now();
    const isAllowed = isWrite
      ? this.#rateLimiters.writes.tryTake(writesPerSecond, now)
      : this.#rateLimiters.reads.tryTake(readsPerSecond, now);
    if (!isAllowed) {
      this.#counts.throttled += 1;
    } else if (isWrite) {
      this.#counts.writes += 1;
    } else {
      this.#counts.reads += 1;
    }
    return isAllowed;
  }

  /** Applies the call immediately; the returned function sends the response. */
  async #apply(request: StoreRequest): Promise<(res: ServerResponse) => void> {
    if (request.kind === "table") {
      const result = await this.#callTable(
        request.name,
        JSON.parse(request.body.toString("utf8")),
      );
      const status = result === undefined ? 404 : 200;
      return (res) => sendJson(res, status, result ?? {});
    }
    if (request.isWrite) {
      this.#objects.set(request.name, request.body);
      return (res) => sendJson(res, 200, {});
    }
    const object = this.#objects.get(request.name);
    const status = object === undefined ? 404 : 200;
    return (res) => res.writeHead(status).end(object);
  }

  async #callTable(operation: string, body: unknown): Promise<unknown> {
    switch (operation) {
      case "read": {
        const { keys } = body as { keys: string[] };
        return { rows: await this.#table.read(keys) };
      }
      case "scan": {
        const { prefix, ...options } = body as {
          prefix: string;
          after?: string;
          limit: number;
        };
        return { rows: await this.#table.scan(prefix, options) };
      }
      case "transact":
        return await this.#table.transact(body as Transaction);
      default:
        return undefined;
    }
  }

  async #serveVms(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const vm = req.url!.split("/")[2] ?? "";
    const now = performance.now();
    switch (req.method) {
      case "PUT":
        this.#vmList.set(vm, await readJson(req), now);
        return sendJson(res, 200, {});
      case "DELETE":
        this.#vmList.set(vm, undefined, now);
        return sendJson(res, 200, {});
      default:
        return this.#serveVmList(res);
    }
  }

  #serveVmList(res: ServerResponse): void {
    if (this.#faults.list === "down") {
      res.destroy();
      return;
    }
    this.#counts.listReads += 1;
    const vms = this.#vmList.read(this.#faults.listLagMs, performance.now());
    sendJson(res, 200, { vms });
  }
}

/** Creates the platform's HTTP server; the caller starts listening. */
export function createPlatform(): Server {
  const platform = new Platform();
  return createServer((req, res) => {
    platform.serve(req, res).catch((err) => {
      sendJson(res, 400, { message: String(err) });
    });
  });
}
