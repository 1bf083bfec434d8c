/**
 * Connections that the server closes while the other side goes on sending.
 *
 * @module
 */

import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import { pause } from "../pause.ts";
import { closeLingering, lingerAfterLastResponse } from "./lingering_close.ts";

/** More than the kernel holds for a caller that reads nothing. */
const BODY_BYTES = 20_000_000;
const REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

let server: Server;
let accepted: Socket[];
let requests: number;

beforeEach(async () => {
  accepted = [];
  requests = 0;
  server = createServer((_req, res) => {
    requests += 1;
    if (requests > 1) {
      return;
    }
    res.writeHead(200, { connection: "close", "content-length": BODY_BYTES });
    res.end("x".repeat(BODY_BYTES));
  });
  server.on("connection", (socket) => {
    accepted.push(socket);
    lingerAfterLastResponse(socket);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
});

afterEach(() => {
  server.close();
  server.closeAllConnections();
});

/** A caller that has sent a request, and reads nothing yet. */
function openCaller(): Socket {
  const { port } = server.address() as AddressInfo;
  const caller = connect(port, "127.0.0.1");
  caller.write(REQUEST);
  return caller;
}

test("a response that closes its connection arrives whole though its caller goes on sending", async () => {
  // Sent to a closed connection, a request resets it, and what is on its way is lost.
  const caller = openCaller();
  let wasReset = false;
  caller.on("error", () => wasReset = true);
  const closed = new Promise((resolve) => caller.once("close", resolve));
  let received = 0;
  const read = () => received += (caller.read() as Buffer | null)?.length ?? 0;
  await pause(100);
  while (accepted[0]!.writableLength > 0) {
    read();
    await pause(1);
  }
  await pause(100);
  expect(received).toBeLessThan(BODY_BYTES);
  caller.write(REQUEST);
  await pause(100);
  caller.on("data", (chunk) => received += chunk.length);
  await closed;
  expect(wasReset).toBe(false);
  expect(received).toBeGreaterThan(BODY_BYTES);
});

test("what waits for a caller that reads nothing is not discarded", async () => {
  const caller = openCaller();
  await pause(100);
  closeLingering(accepted[0]!);
  await pause(2_500);
  let received = 0;
  caller.on("data", (chunk) => received += chunk.length);
  await new Promise((resolve) => caller.once("close", resolve));
  expect(received).toBeGreaterThan(BODY_BYTES);
});

test("a connection that the other side does not close is closed after a while", async () => {
  const { port } = server.address() as AddressInfo;
  const caller = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
  await new Promise((resolve) => caller.once("connect", resolve));
  await pause(20);
  closeLingering(accepted[0]!);
  closeLingering(accepted[0]!);
  await pause(1_500);
  expect(accepted[0]!.destroyed).toBe(false);
  await pause(1_000);
  expect(accepted[0]!.destroyed).toBe(true);
  caller.destroy();
});
