/**
 * Baseline of the proxy: a bare pass-through of `http` and a pool of `undici`
 * that decides nothing.
 *
 * It uses undici's raw handler methods, as the daemon does: with the pool's
 * `request`, whose streams cost about as much as all of the daemon's decisions,
 * the baseline was the slower of the two.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { type Dispatcher, Pool } from "undici";
import { processOptions, serveAdmin } from "@poplarthread/standins";
import type { ServerRole } from "./roles.ts";

/** Headers of one connection, which must not go on to the next. */
const HOP_BY_HOP = new Set(["connection", "keep-alive", "transfer-encoding"]);

const { host, port, behind } = processOptions<ServerRole>();
const pool = new Pool(behind!, { connections: 256 });

function pass(req: IncomingMessage, res: ServerResponse): void {
  let wake: (() => void) | undefined;
  res.on("drain", () => wake?.());
  const handler: Dispatcher.DispatchHandler = {
    onConnect() {},
    onHeaders(status, raw, resume) {
      wake = resume;
      res.writeHead(status, endToEnd(raw.map(String)));
      return true;
    },
    onData: (chunk: Buffer) => res.write(chunk),
    onComplete() {
      res.end();
    },
    onError() {
      res.destroy();
    },
  };
  const options = {
    path: req.url!,
    method: req.method as Dispatcher.HttpMethod,
    headers: endToEnd(req.rawHeaders),
    body: req.method === "GET" ? null : req,
  };
  pool.dispatch(options, handler);
}

/** Lines that go on, name and value in turn. */
function endToEnd(lines: readonly string[]): string[] {
  const kept: string[] = [];
  for (let at = 0; at < lines.length; at += 2) {
    if (!HOP_BY_HOP.has(lines[at]!.toLowerCase())) {
      kept.push(lines[at]!, lines[at + 1]!);
    }
  }
  return kept;
}

const server = createServer(pass);
await new Promise<void>((resolve) => server.listen(port, host, resolve));
await serveAdmin(() => undefined);
