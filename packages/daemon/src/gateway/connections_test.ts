/**
 * Which pooled connection a request is sent on.
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
import type { Connection, ConnectionTarget } from "./connection.ts";
import { Connections } from "./connections.ts";
import { pause } from "../pause.ts";

const RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

let server: Server;
let sockets: Socket[];
let connections: Connections;
let target: ConnectionTarget;

beforeEach(async () => {
  sockets = [];
  server = createServer((socket) => {
    sockets.push(socket);
    socket.on("error", () => undefined);
    socket.on("data", () => socket.write(RESPONSE));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  target = {
    id: "t-1" as TargetId,
    address: `127.0.0.1:${port}`,
    roundTripMs: 1,
  };
  connections = new Connections({
    localAddress: "127.0.0.1",
    listener: { connected: () => undefined },
  });
});

afterEach(() => {
  connections.close();
  server.close();
  sockets.forEach((socket) => socket.destroy());
});

/** Sends a request and returns its connection to the pool. */
async function exchange(requestId: string): Promise<Connection> {
  const connection = connections.take(target, requestId);
  await new Promise<void>((resolve, reject) => {
    connection.dispatch({ method: "GET", path: "/" }, {
      onConnect: () => undefined,
      onHeaders: () => true,
      onData: () => true,
      onComplete: () => resolve(),
      onError: reject,
    });
  });
  connections.release(connection);
  await pause(1);
  return connection;
}

test("a request is sent on the connection that was used last", async () => {
  const first = await exchange("r-1");
  expect(await exchange("r-2")).toBe(first);
});

test("a request that is sent again uses a connection that has not carried it", async () => {
  // A late copy of the response to its first attempt has the same id.
  const first = await exchange("r-1");
  await exchange("r-2");
  const second = await exchange("r-1");
  expect(second).not.toBe(first);
  const third = await exchange("r-1");
  expect([first, second]).not.toContain(third);
});

test("a connection that is passed over for one request stays in the pool for others", async () => {
  const first = await exchange("r-1");
  const second = await exchange("r-1");
  expect(await exchange("r-2")).toBe(second);
  connections.take(target, "r-3");
  expect(connections.take(target, "r-4")).toBe(first);
  expect(sockets.length).toBe(2);
});

test("a connection is closed after as many requests as it keeps the ids of", async () => {
  const first = await exchange("r-0");
  for (let count = 1; count < 500; count++) {
    expect(await exchange(`r-${count}`)).toBe(first);
  }
  expect(await exchange("r-500")).not.toBe(first);
  expect(first.isOpen).toBe(false);
});
