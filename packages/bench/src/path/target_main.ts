/** A target that answers at once, so that what stands before it is the bottleneck. @module */

import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { processOptions, serveAdmin } from "@poplarthread/standins";
import { ANSWER_BYTES, type ServerRole } from "./roles.ts";

const answer = Buffer.alloc(ANSWER_BYTES, "x");
const { host, port } = processOptions<ServerRole>();

const server = createServer((req, res) => {
  switch (req.url) {
    case "/health":
      res.end('{"status":"ok"}');
      return;
    case "/load":
      res.end('{"inFlight":0,"slots":1000}');
      return;
  }
  req.resume();
  res.writeHead(200, {
    "content-type": "text/plain",
    "content-length": ANSWER_BYTES,
  });
  res.end(answer);
});
// Connections that the pool keeps must not race with their end.
server.keepAliveTimeout = 600_000;
await new Promise<void>((resolve) => server.listen(port, host, resolve));
await serveAdmin(() => undefined);
