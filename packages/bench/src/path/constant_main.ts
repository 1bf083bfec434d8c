/** Baseline of the look-up: a bare `http` handler that answers a constant. @module */

import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { processOptions, serveAdmin } from "@poplarthread/standins";
import type { ServerRole } from "./roles.ts";

/** The look-up's answer of the daemon beside it, so that both send as much. */
interface ConstantRole extends ServerRole {
  readonly answer: string;
}

const { host, port, answer } = processOptions<ConstantRole>();
const body = Buffer.from(answer);
const server = createServer((_req, res) => {
  res.writeHead(200, {
    "content-type": "application/json",
    "content-length": body.length,
  });
  res.end(body);
});
await new Promise<void>((resolve) => server.listen(port, host, resolve));
await serveAdmin(() => undefined);
