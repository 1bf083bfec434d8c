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
 * - `PUT /faults {table, delayMs, listLagMs}`: the switches.
 *
 * @module
 */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { Buffer } from "node:buffer";
import { MemoryTable, type Transaction } from "@poplarthread/coordination";
import { readJson, sendJson } from "./http_json.ts";

/** How the platform treats calls to the table and the object store. */
export type TableFault = "none" | "down" | "lose-answers";

/** The fault switches. */
export interface Faults {
  readonly table: TableFault;
  /** Added to every answer of the table. */
  readonly delayMs: number;
  /** Age of the VM list that is served. */
  readonly listLagMs: number;
}

const NO_FAULTS: Faults = { table: "none", delayMs: 0, listLagMs: 0 };

/** Makes the platform's HTTP server; the caller lets it listen. */
export function createPlatform(): Server {
  const table = new MemoryTable();
  const objects = new Map<string, Buffer>();
  const vms = new Map<string, unknown>();
  let history: { at: number; vms: unknown[] }[] = [{ at: -Infinity, vms: [] }];
  let faults = NO_FAULTS;

  function recordList(): void {
    history.push({ at: performance.now(), vms: [...vms.values()] });
  }

  function laggingList(): unknown[] {
    const until = performance.now() - faults.listLagMs;
    const past = history.filter(({ at }) => at <= until);
    const current = past[past.length - 1]!;
    history = [current, ...history.filter(({ at }) => at > until)];
    return current.vms;
  }

  async function callTable(operation: string, body: unknown): Promise<unknown> {
    switch (operation) {
      case "read":
        return { rows: await table.read((body as { keys: string[] }).keys) };
      case "scan": {
        const { prefix, ...options } = body as {
          prefix: string;
          after?: string;
          limit: number;
        };
        return { rows: await table.scan(prefix, options) };
      }
      case "transact":
        return await table.transact(body as Transaction);
      default:
        return undefined;
    }
  }

  async function serveStore(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const { table: fault, delayMs } = faults;
    if (delayMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, delayMs));
    }
    if (fault === "down") {
      res.destroy();
      return;
    }
    const [, kind, name] = req.url!.split("/") as [string, string, string];
    if (kind === "table") {
      const answer = await callTable(name, await readJson(req));
      if (fault === "lose-answers" && name === "transact") {
        res.destroy();
        return;
      }
      sendJson(res, answer === undefined ? 404 : 200, answer ?? {});
      return;
    }
    if (req.method === "PUT") {
      const chunks: Buffer[] = [];
      for await (const chunk of req) {
        chunks.push(chunk);
      }
      objects.set(name, Buffer.concat(chunks));
      sendJson(res, 200, {});
      return;
    }
    const object = objects.get(name);
    res.writeHead(object === undefined ? 404 : 200).end(object);
  }

  async function serveVms(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const vm = req.url!.split("/")[2];
    switch (req.method) {
      case "PUT":
        vms.set(vm!, await readJson(req));
        recordList();
        sendJson(res, 200, {});
        return;
      case "DELETE":
        vms.delete(vm!);
        recordList();
        sendJson(res, 200, {});
        return;
      default:
        sendJson(res, 200, { vms: laggingList() });
    }
  }

  async function serve(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const kind = req.url!.split("/")[1];
    switch (kind) {
      case "table":
      case "objects":
        return await serveStore(req, res);
      case "vms":
        return await serveVms(req, res);
      case "faults":
        faults = { ...NO_FAULTS, ...await readJson(req) as Partial<Faults> };
        return sendJson(res, 200, {});
      default:
        return sendJson(res, 404, {});
    }
  }

  return createServer((req, res) => {
    serve(req, res).catch((err) => {
      sendJson(res, 400, { message: String(err) });
    });
  });
}
