/**
 * A stand-in for the platform: transactional table, object store and VM list
 * over HTTP, with switches for the faults that the real one has.
 *
 * Protocol, all bodies JSON:
 *
 * - `POST /table/read {keys}` answers `{rows}`;
 * - `POST /table/scan {prefix, after?, limit}` answers `{rows}`;
 * - `POST /table/transact {conditions, writes}` answers a `TransactionResult`; a
 *   write without `value` deletes;
 * - `PUT /objects/NAME`, `GET /objects/NAME`: an object of bytes;
 * - `GET /vms` answers `{vms}`, the list of live and leaving VMs as it stood
 *   `listLagMs` ago;
 * - `PUT /vms/ID`, `DELETE /vms/ID`: a VM comes, changes or goes;
 * - `PUT /faults`: the switches that are named; the others stay as they are;
 * - `GET /counts`: what it was asked.
 *
 * A call beyond the limit of writes or reads is refused with 429 and has no
 * effect.
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
  RateLimit,
} from "./faults.ts";
import { LaggingList } from "./vm_list.ts";

/** What a call to the store asks for. */
interface StoreCall {
  readonly kind: "table" | "objects";
  /** The table's operation or the object's name. */
  readonly name: string;
  readonly isWrite: boolean;
  readonly body: Buffer;
}

class Platform {
  readonly #table = new MemoryTable();
  readonly #objects = new Map<string, Buffer>();
  readonly #list = new LaggingList();
  readonly #limits = { reads: new RateLimit(), writes: new RateLimit() };
  readonly #counts: PlatformCounts = {
    reads: 0,
    writes: 0,
    throttled: 0,
    answersLost: 0,
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
    kind: StoreCall["kind"],
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
    if (!this.#admits(isWrite)) {
      return sendJson(res, 429, { message: "over the limit" });
    }
    const answer = await this.#apply({ kind, name, isWrite, body });
    if (delayMs > 0) {
      await sleep(delayMs);
    }
    if (store === "lose-answers" && isWrite) {
      this.#counts.answersLost += 1;
      res.destroy();
      return;
    }
    answer(res);
  }

  #admits(isWrite: boolean): boolean {
    const { writesPerSecond, readsPerSecond } = this.#faults;
    const now = performance.now();
    const fits = isWrite
      ? this.#limits.writes.take(writesPerSecond, now)
      : this.#limits.reads.take(readsPerSecond, now);
    if (!fits) {
      this.#counts.throttled += 1;
    } else if (isWrite) {
      this.#counts.writes += 1;
    } else {
      this.#counts.reads += 1;
    }
    return fits;
  }

  /** Takes effect at once; the answer is sent by the function it returns. */
  async #apply(call: StoreCall): Promise<(res: ServerResponse) => void> {
    if (call.kind === "table") {
      const answer = await this.#callTable(
        call.name,
        JSON.parse(call.body.toString("utf8")),
      );
      const status = answer === undefined ? 404 : 200;
      return (res) => sendJson(res, status, answer ?? {});
    }
    if (call.isWrite) {
      this.#objects.set(call.name, call.body);
      return (res) => sendJson(res, 200, {});
    }
    const object = this.#objects.get(call.name);
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
        this.#list.set(vm, await readJson(req), now);
        return sendJson(res, 200, {});
      case "DELETE":
        this.#list.set(vm, undefined, now);
        return sendJson(res, 200, {});
      default:
        return this.#serveList(res);
    }
  }

  #serveList(res: ServerResponse): void {
    if (this.#faults.list === "down") {
      res.destroy();
      return;
    }
    this.#counts.listReads += 1;
    const vms = this.#list.read(this.#faults.listLagMs, performance.now());
    sendJson(res, 200, { vms });
  }
}

/** Makes the platform's HTTP server; whoever made it lets it listen. */
export function createPlatform(): Server {
  const platform = new Platform();
  return createServer((req, res) => {
    platform.serve(req, res).catch((err) => {
      sendJson(res, 400, { message: String(err) });
    });
  });
}
