/**
 * Health checks of targets that never end their response.
 *
 * @module
 */

import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import type { TargetId } from "@poplarthread/ids";
import { Connections } from "./connections.ts";
import { HealthProber } from "./health_prober.ts";
import type { Dialect } from "./ports.ts";

const PART = "x".repeat(16_000);

let server: Server;
let accepted: Socket | undefined;
let connections: Connections;
let respond: (socket: Socket) => void;

beforeEach(async () => {
  accepted = undefined;
  server = createServer((socket) => {
    accepted = socket;
    socket.on("error", () => undefined);
    socket.on("data", () => respond(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  connections = new Connections({
    localAddress: "127.0.0.1",
    listener: { connected: () => undefined },
  });
});

afterEach(() => {
  connections.close();
  server.close();
  accepted?.destroy();
});

function probe() {
  const { port } = server.address() as AddressInfo;
  const target = {
    id: "t-1" as TargetId,
    address: `127.0.0.1:${port}`,
    roundTripMs: 1,
  };
  const dialect = {
    readHealthResponse: (status: number) => ({
      isHealthy: status === 200,
      target: undefined,
      coldMs: 0,
    }),
  } as unknown as Dialect;
  return new HealthProber({ connections, dialect }).probe(target, "/healthz");
}

test.each([
  ["a body without a length", "Connection: close\r\n\r\n", PART],
  ["chunks", "Transfer-Encoding: chunked\r\n\r\n", `3e80\r\n${PART}\r\n`],
  ["bytes that come slowly", "Content-Length: 1000000\r\n\r\n", ""],
])("a health check does not read %s without end", async (_what, head, part) => {
  // Nobody waits for the rest of its response.
  respond = (socket) => {
    socket.write(`HTTP/1.1 200 OK\r\n${head}`);
    const send = () => {
      while (part !== "" && !socket.destroyed && socket.write(part)) {
        // Until the socket's buffer is full.
      }
    };
    socket.on("drain", () => setImmediate(send));
    send();
  };
  expect(await probe()).toMatchObject({ isHealthy: true });
  const socket = accepted!;
  if (!socket.destroyed) {
    await new Promise((resolve) => socket.on("close", resolve));
  }
});
