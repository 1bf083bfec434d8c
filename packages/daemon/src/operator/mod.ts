/**
 * The operators' listener: the API for the operators' command-line tool, and the
 * health, readiness and metrics endpoints.
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
import { listen } from "../listen.ts";
import type {
  OperatorBackend,
  ProbeHandlers,
  ProbeResponse,
} from "../operator_backend.ts";
import { readBody } from "./body.ts";
import { HttpError } from "./http_error.ts";
import { handleRequest } from "./routes.ts";
import { OperatorTokens } from "./tokens.ts";

export { OperatorTokens, TokensError } from "./tokens.ts";

/** Time-out for receiving an operator's complete request. */
const REQUEST_TIMEOUT_MS = 10_000;
const TABLE_RETRY_AFTER_S = 2;

/** Options of {@link startOperatorListener}. */
export interface OperatorListenerOptions {
  readonly host: string;
  readonly port: number;
  readonly tokens: OperatorTokens;
  /** Called for each request without a valid token, to count it. */
  readonly onUnauthenticated?: () => void;
  /** Called if the listener cannot go on accepting connections. */
  readonly onError?: (err: Error) => void;
}

/** A running listener. */
export interface OperatorListener {
  /** The port it is bound to; differs from the configured port only if that is 0. */
  readonly port: number;
  /** Stops accepting connections, closes the idle ones and resolves when all have closed. */
  close(): Promise<void>;
}

/** Starts the listener; resolves when it accepts connections. */
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
    const probe = await probeResponse(probes, req);
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
    const value = await handleRequest(backend, {
      method: req.method ?? "GET",
      url: parseUrl(req),
      who,
      body: () => readBody(req),
    });
    sendJson(res, 200, value);
  }

  const { host, port, onError } = options;
  await listen(server, { host, port }, (err) => onError?.(err));
  const address = server.address();
  return {
    port: typeof address === "object" && address !== null ? address.port : 0,
    close: () => close(server),
  };
}

async function probeResponse(
  probes: ProbeHandlers,
  req: IncomingMessage,
): Promise<ProbeResponse | undefined> {
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
    throw new HttpError(400, "the request path is malformed");
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
  // The rest of the body is not read, since an oversized one would occupy the connection.
  res.setHeader("connection", "close");
  if (err instanceof TableError) {
    res.setHeader("retry-after", String(TABLE_RETRY_AFTER_S));
  }
  const { status, body } = toErrorResponse(err);
  sendJson(res, status, body);
}

function toErrorResponse(
  err: unknown,
): { status: number; body: ErrorResponse } {
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

function close(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}
