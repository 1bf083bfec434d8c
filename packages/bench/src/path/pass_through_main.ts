/**
 * Baseline of the proxy: a bare pass-through of `http` and a pool of `undici`
 * that decides nothing.
 *
 * @module
 */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { pipeline } from "node:stream/promises";
import { type Dispatcher, Pool } from "undici";
import { processOptions, serveAdmin } from "@poplarthread/standins";
import type { ServerRole } from "./roles.ts";

const { host, port, behind } = processOptions<ServerRole>();
const pool = new Pool(behind!, { connections: 256 });

async function pass(req: IncomingMessage, res: ServerResponse): Promise<void> {
  const { connection: _, ...headers } = req.headers;
  const answer = await pool.request({
    path: req.url!,
    method: req.method as Dispatcher.HttpMethod,
    headers,
    body: req.method === "GET" ? null : req,
  });
  const { connection: __, "keep-alive": ___, ...rest } = answer.headers;
  res.writeHead(answer.statusCode, rest);
  await pipeline(answer.body, res);
}

const server = createServer((req, res) => {
  pass(req, res).catch(() => res.destroy());
});
await new Promise<void>((resolve) => server.listen(port, host, resolve));
await serveAdmin(() => undefined);
