/**
 * The operator's listener: the API of the operator's command, and the probes.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { FindingsError } from "@poplarthread/config";
import { TableError } from "@poplarthread/coordination";
import type { ErrorResponse } from "@poplarthread/operator-api";
import type {
  OperatorBackend,
  ProbeAnswer,
  ProbeHandlers,
} from "../operator_backend.ts";
import { readBody } from "./body.ts";
import { HttpError } from "./http_error.ts";
import { answer } from "./routes.ts";
import { OperatorTokens } from "./tokens.ts";

export { OperatorTokens, TokensError } from "./tokens.ts";

/** Longest time an operator's request may take to arrive. */
const REQUEST_TIMEOUT_MS = 10_000;
const TABLE_RETRY_AFTER_S = 2;

/** Where the listener binds and whom it knows. */
export interface OperatorListenerOptions {
  readonly host: string;
  readonly port: number;
  readonly tokens: OperatorTokens;
  /** Called for each request refused for its token, for the metrics. */
  readonly onUnauthenticated?: () => void;
}

/** A listener that serves. */
export interface OperatorListener {
  /** The port it got; the one asked for unless that was 0. */
  readonly port: number;
  /** Takes no new connections and ends the idle ones. */
  close(): Promise<void>;
}

/** Starts the listener; settles when it listens. */
export async function startOperatorListener(
  backend: OperatorBackend,
  probes: ProbeHandlers,
  options: OperatorListenerOptions,
): Promise<OperatorListener> {
  const server = createServer({ requestTimeout: REQUEST_TIMEOUT_MS });
  server.on("request", (req, res) => {
    serve(req, res)
      .catch((err) => sendError(res, err))
      .catch(() => res.destroy());
  });

  async function serve(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const probe = await probeAnswer(probes, req);
    if (probe !== undefined) {
      res.writeHead(probe.status, { "content-type": probe.contentType });
      res.end(probe.body);
      return;
    }
    const who = options.tokens.identify(req.headers.authorization);
    if (who === undefined) {
      options.onUnauthenticated?.();
      throw new HttpError(401, "an operator's token is needed");
    }
    const value = await answer(backend, {
      method: req.method ?? "GET",
      url: parseUrl(req),
      who,
      body: () => readBody(req),
    });
    sendJson(res, 200, value);
  }

  await listen(server, options);
  const address = server.address();
  return {
    port: typeof address === "object" && address !== null ? address.port : 0,
    close: () => close(server),
  };
}

async function probeAnswer(
  probes: ProbeHandlers,
  req: IncomingMessage,
): Promise<ProbeAnswer | undefined> {
  if (req.method !== "GET") {
    return undefined;
  }
  switch (req.url) {
    case "/healthz":
      return probes.health();
    case "/readyz":
      return probes.ready();
    case "/metrics":
      return await probes.metrics();
    default:
      return undefined;
  }
}

function parseUrl(req: IncomingMessage): URL {
  try {
    return new URL(req.url ?? "/", "http://operator");
  } catch {
    throw new HttpError(400, "the request's path is malformed");
  }
}

function sendJson(res: ServerResponse, status: number, value: unknown): void {
  const text = JSON.stringify(value);
  res.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  res.end(text);
}

function sendError(res: ServerResponse, err: unknown): void {
  if (res.headersSent) {
    res.destroy();
    return;
  }
  // What is left of the body is not read: an oversized one would hold the connection.
  res.setHeader("connection", "close");
  if (err instanceof TableError) {
    res.setHeader("retry-after", String(TABLE_RETRY_AFTER_S));
  }
  const { status, body } = describe(err);
  sendJson(res, status, body);
}

function describe(err: unknown): { status: number; body: ErrorResponse } {
  if (err instanceof HttpError) {
    return {
      status: err.status,
      body: { message: err.message, findings: err.findings },
    };
  }
  if (err instanceof FindingsError) {
    return {
      status: 400,
      body: { message: err.message, findings: err.findings },
    };
  }
  if (err instanceof TableError) {
    return { status: 503, body: { message: err.message } };
  }
  return { status: 500, body: { message: "internal error" } };
}

function listen(
  server: Server,
  { host, port }: OperatorListenerOptions,
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      server.off("error", reject);
      resolve();
    });
  });
}

function close(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}
