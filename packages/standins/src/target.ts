/**
 * A stand-in for a target: a server with few slots that counts what it ran.
 *
 * Protocol: any method and path is work, except
 *
 * - `GET /health` answers `{"status": "ok" | "cold" | "draining"}`;
 * - `GET /load` answers `{"inFlight", "slots"}`;
 * - `GET /ran` answers the counts of runs by idempotency key, for the demo.
 *
 * Work beyond the slots is refused with 503 and `poplarthread-not-run: 1`. A
 * draining target says so with `poplarthread-leaving: 1` on each answer.
 *
 * @module
 */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { sendJson } from "./http_json.ts";

/** How a target behaves. */
export interface TargetOptions {
  readonly slots: number;
  readonly serviceMs: number;
}

/** Makes a target's HTTP server; the caller lets it listen. */
export function createTarget(options: TargetOptions): Server {
  const ran = new Map<string, number>();
  let inFlight = 0;

  function work(req: IncomingMessage, res: ServerResponse): void {
    if (inFlight >= options.slots) {
      res.writeHead(503, { "poplarthread-not-run": "1", "retry-after": "1" })
        .end();
      return;
    }
    inFlight += 1;
    res.once("close", () => {
      inFlight -= 1;
    });
    const key = req.headers["idempotency-key"];
    if (typeof key === "string") {
      ran.set(key, (ran.get(key) ?? 0) + 1);
    }
    req.resume();
    setTimeout(() => {
      sendJson(res, 200, { path: req.url, key: key ?? null });
    }, options.serviceMs);
  }

  return createServer((req, res) => {
    switch (req.url) {
      case "/health":
        return sendJson(res, 200, { status: "ok" });
      case "/load":
        return sendJson(res, 200, { inFlight, slots: options.slots });
      case "/ran":
        return sendJson(res, 200, Object.fromEntries(ran));
      default:
        return work(req, res);
    }
  });
}
