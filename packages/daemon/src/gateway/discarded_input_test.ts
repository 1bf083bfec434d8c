/**
 * Input of a connection after its last request.
 *
 * @module
 */

import { once } from "node:events";
import { createServer, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import {
  setImmediate as nextTurn,
  setTimeout as sleep,
} from "node:timers/promises";
import { afterEach, beforeEach, expect, test } from "vitest";
import { discardInput, isDiscarded } from "./discarded_input.ts";

const REQUEST = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n";
const LARGE = Buffer.alloc(8_000_000);
/** More than Node reads of a body before it is used. */
const BODY_BYTES = 100_000;
const HEADERS_TIMEOUT_MS = 100;

let server: Server;
let caller: Socket;
let responses: ServerResponse[];
let hasCallerEnded: boolean;
let faults: Error[];

beforeEach(async () => {
  responses = [];
  faults = [];
  hasCallerEnded = false;
  server = createServer({
    headersTimeout: HEADERS_TIMEOUT_MS,
    connectionsCheckingInterval: HEADERS_TIMEOUT_MS / 4,
  }, (req, res) => {
    responses.push(res);
    if (responses.length === 2) {
      discardInput(req);
    }
  });
  server.on("clientError", (err) => faults.push(err));
  server.on(
    "connection",
    (socket: Socket) => socket.on("end", () => hasCallerEnded = true),
  );
  await once(server.listen(0, "127.0.0.1"), "listening");
  caller = connect({
    port: (server.address() as AddressInfo).port,
    host: "127.0.0.1",
    allowHalfOpen: true,
  });
});

afterEach(() => {
  caller.destroy();
  server.closeAllConnections();
  server.close();
});

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await nextTurn();
  }
}

test("requests that one read gives are not parsed behind the last one", async () => {
  // Each would be kept until the responses before it are out.
  caller.end(REQUEST.repeat(100_000));
  await until(() => hasCallerEnded);
  expect(responses).toHaveLength(2);
  expect(faults.every(isDiscarded)).toBe(true);
});

test("responses before the discarded input are delivered", async () => {
  caller.write(REQUEST.repeat(3_000));
  await until(() => responses.length === 2);
  responses.forEach((res) => res.end("done"));
  let received = "";
  caller.setEncoding("utf8").on("data", (text: string) => received += text);
  await until(() => received.split("done").length === 3);
  expect(received.match(/HTTP\/1.1 200/g)).toHaveLength(2);
});

test("the close by the caller is noticed behind a response that it read late", async () => {
  // Its requests would run on for nobody, and unread input resets its connection.
  caller.pause().write(REQUEST);
  await until(() => responses.length === 1);
  responses[0]!.write(LARGE);
  caller.write(REQUEST.repeat(10));
  await until(() => responses.length === 2);
  caller.resume().end(REQUEST.repeat(10_000));
  await until(() => hasCallerEnded);
});

test("the close by the caller is noticed behind a body that is not used", async () => {
  caller.write(REQUEST);
  caller.end(
    `POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: ${BODY_BYTES}\r\n\r\n` +
      "x".repeat(BODY_BYTES),
  );
  await until(() => hasCallerEnded);
  expect(faults).toEqual([]);
});

test("a request of which a part is discarded is not taken for one that is late", async () => {
  caller.write(REQUEST.repeat(3).slice(0, -10));
  await until(() => responses.length === 2);
  caller.write(REQUEST.slice(-10));
  await sleep(3 * HEADERS_TIMEOUT_MS);
  expect(faults.every(isDiscarded)).toBe(true);
});
