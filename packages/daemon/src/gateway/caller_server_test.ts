/**
 * A server for callers: its limits, and connections that are not used.
 *
 * @module
 */

import { once } from "node:events";
import { request } from "node:http";
import { connect, type Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { afterEach, beforeEach, expect, test } from "vitest";
import { loopbackAddress, nextPort } from "../loopback.ts";
import { CallerServer, type RequestHandlers } from "./caller_server.ts";

const HOST = loopbackAddress(81);

const HEADER_TIMEOUT_MS = 100;
/** Node has checked all connections for header timeouts by then. */
const CHECKED_MS = HEADER_TIMEOUT_MS + 2_000;
const REQUEST = "GET / HTTP/1.1\r\nHost: site.example\r\n\r\n";

const HANDLERS: RequestHandlers = {
  handle: (_req, res) => void res.end(),
  refuse: (_req, res) => void res.end(),
};

const server = new CallerServer({
  connected: () => undefined,
  clientError: (err, socket) => {
    clientErrors.push(err.code);
    socket.destroy();
  },
  unused: (socket) => {
    unused += 1;
    socket.end();
  },
  acceptFailed: () => undefined,
});
let clientErrors: (string | undefined)[];
let unused: number;
let callers: Socket[];

beforeEach(() => {
  clientErrors = [];
  unused = 0;
  callers = [];
});

afterEach(() => {
  callers.forEach((caller) => caller.destroy());
  server.close();
});

/** A connection to a server that ends idle connections after `idleTimeoutMs`. */
async function openCaller(idleTimeoutMs: number): Promise<Socket> {
  const address = { host: HOST, port: nextPort() };
  server.setLimits({
    headerBytes: 1_000,
    bodyBytes: 1,
    headerTimeoutMs: HEADER_TIMEOUT_MS,
    idleTimeoutMs,
  });
  await server.open(address, HANDLERS);
  const caller = connect(address);
  callers.push(caller);
  await once(caller, "connect");
  return caller;
}

function statusWithHeader(port: number, bytes: number): Promise<number> {
  return new Promise((resolve) => {
    const req = request({
      host: HOST,
      port,
      headers: { filler: "x".repeat(bytes) },
    }, (res) => resolve(res.statusCode!));
    req.on("error", () => resolve(0));
    req.end();
  });
}

test("the limits of the configuration hold after a restart", async () => {
  const port = nextPort();
  const start = () => server.open({ host: HOST, port }, HANDLERS);
  await start();
  server.setLimits({
    headerBytes: 1_000,
    bodyBytes: 1,
    headerTimeoutMs: 1_000,
    idleTimeoutMs: 1_000,
  });
  server.close();
  await start();
  expect(await statusWithHeader(port, 100)).toBe(200);
  expect(await statusWithHeader(port, 2_000)).toBe(0);
});

test("a caller may use its connection later than a header may last", async () => {
  const caller = await openCaller(60_000);
  await pause(CHECKED_MS);
  caller.write(REQUEST);
  const [response] = await once(caller, "data") as [Buffer];
  expect(response.toString()).toMatch(/^HTTP\/1\.1 200 /);
  expect(clientErrors).toEqual([]);
});

test("the first header on a connection that was not used has its limit", async () => {
  const caller = await openCaller(60_000);
  await pause(CHECKED_MS);
  caller.write(REQUEST.slice(0, 20));
  await once(caller, "close");
  expect(clientErrors).toEqual(["ERR_HTTP_REQUEST_TIMEOUT"]);
  expect(unused).toBe(0);
});

test.each([
  ["nothing arrives", ""],
  ["no header begins", "\r\n"],
])("a connection on which %s is ended after its limits", async (_, input) => {
  const caller = await openCaller(1_000);
  await pause(CHECKED_MS);
  caller.write(input);
  caller.resume();
  await once(caller, "end");
  expect(unused).toBe(1);
  expect(clientErrors).toEqual([]);
});
