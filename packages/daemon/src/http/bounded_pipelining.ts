/**
 * Servers for small requests, which bound what each client has open.
 *
 * @module
 */

import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { ConnectionLimit } from "./connection_limit.ts";
import { OpenRequests } from "./open_requests.ts";
import { PacedInput } from "./paced_input.ts";

/** Most open requests of a connection; clients of small internal servers send one after the other. */
const MAX_OPEN_REQUESTS = 16;

/** Memory for input of all connections that waits to be parsed. */
const WAITING_INPUT_BYTES = 1_000_000;

/** Options of {@link createBoundedServer}. */
export interface BoundedServerOptions {
  /** Most open connections; unbounded by default. */
  readonly connections?: number;
}

/** A server that closes connections with too many open requests. */
export function createBoundedServer(
  handle: RequestListener,
  { connections = Infinity }: BoundedServerOptions = {},
): Server {
  const open = new OpenRequests({ perConnection: MAX_OPEN_REQUESTS });
  const limit = new ConnectionLimit({
    most: connections,
    isIdle: (socket) => !open.isBusy(socket),
  });
  const input = new PacedInput({ bytes: WAITING_INPUT_BYTES });
  const bounded = boundedPipelining(open, (req, res) => {
    limit.used(req.socket);
    handle(req, res);
  });
  // Node would answer requests without a host or with an unknown expectation by itself,
  // past the bound.
  return createServer({ requireHostHeader: false }, bounded)
    .on("checkExpectation", bounded)
    .on("connection", (socket: Socket) => {
      input.follow(socket);
      limit.accepted(socket);
    });
}

function boundedPipelining(
  open: OpenRequests,
  handle: RequestListener,
): RequestListener {
  return (req: IncomingMessage, res: ServerResponse) => {
    const { socket } = req;
    if (socket.destroyed || !open.admit(req, res)) {
      socket.destroy();
      return;
    }
    if (req.httpVersion === "1.1" && req.headers.host === undefined) {
      res.writeHead(400, { connection: "close" }).end();
      return;
    }
    handle(req, res);
  };
}
