/**
 * Bounds the requests that a client sends ahead.
 *
 * One read of a socket is parsed into thousands of short requests before Node pauses the
 * socket, and each of their responses waits in memory.
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

/** Most open requests of a connection; clients of small internal servers send one after the other. */
const MAX_OPEN_REQUESTS = 16;

/** A server that closes connections with too many open requests. */
export function createBoundedServer(handle: RequestListener): Server {
  const bounded = boundedPipelining(handle);
  // Node would answer requests without a host or with an unknown expectation by itself,
  // past the bound.
  return createServer({ requireHostHeader: false }, bounded)
    .on("checkExpectation", bounded);
}

function boundedPipelining(handle: RequestListener): RequestListener {
  const open = new WeakMap<Socket, number>();
  return (req: IncomingMessage, res: ServerResponse) => {
    const { socket } = req;
    const count = (open.get(socket) ?? 0) + 1;
    if (socket.destroyed || count > MAX_OPEN_REQUESTS) {
      socket.destroy();
      return;
    }
    open.set(socket, count);
    res.once("close", () => open.set(socket, open.get(socket)! - 1));
    if (req.httpVersion === "1.1" && req.headers.host === undefined) {
      res.writeHead(400, { connection: "close" }).end();
      return;
    }
    handle(req, res);
  };
}
