/**
 * The wait of connections that a server accepts, over real connections.
 *
 * @module
 */

import { createServer, type Server } from "node:http";
import { connect, type Socket } from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import { listen } from "../listen.ts";
import { loopbackAddress, nextPort } from "../loopback.ts";
import { AcceptWatch } from "./accept_watch.ts";

const HOST = loopbackAddress(82);
/** A turn takes this long at least. */
const TURN_MS = 20;
/** So many turns in a row accept a connection. */
const TURNS = 60;
/** Connections that wait at any time. */
const WAITING = 3;
/** A turn after which a server wants to know how long connections wait. */
const LONG_TURN_MS = 150;

let server: Server;
let opened: Socket[];

beforeEach(() => {
  server = createServer();
  opened = [];
});

afterEach(() => {
  server.removeAllListeners();
  opened.forEach((socket) => socket.destroy());
  server.close();
});

function keepBusy(ms = TURN_MS): void {
  const endAt = performance.now() + ms;
  while (performance.now() < endAt);
}

test("connections that wait for a moment count so in a queue that stands for long", async () => {
  // Guards against refusals of requests for the time that others have waited before them.
  const address = { host: HOST, port: nextPort() };
  const startedAt = performance.now();
  const open = () => void opened.push(connect(address));
  const lastMs = await new Promise<number>((resolve) => {
    let accepted = 0;
    new AcceptWatch(address).follow(server, (_socket, maxWaitMs) => {
      accepted += 1;
      if (accepted === TURNS) {
        resolve(maxWaitMs);
        return;
      }
      open();
      keepBusy();
    });
    const listening = listen(server, address, () => undefined);
    void listening.then(() => Array.from({ length: WAITING }, open));
  });
  const elapsedMs = performance.now() - startedAt;
  expect(elapsedMs).toBeGreaterThan(TURNS * TURN_MS - TURN_MS);
  expect(lastMs).toBeLessThan(elapsedMs / 2);
});

test("a connection to itself that is accepted in the next turn is not a caller's", async () => {
  // Guards against a watch that goes on for as long as turns are long.
  const address = { host: HOST, port: nextPort() };
  let callers = 0;
  let accepted = 0;
  new AcceptWatch(address).follow(server, () => {
    callers += 1;
    keepBusy(LONG_TURN_MS);
  });
  const ownClosed = new Promise<void>((resolve) =>
    server.on("connection", (socket) => {
      accepted += 1;
      if (accepted === 2) {
        socket.once("close", () => resolve());
      }
    })
  );
  await listen(server, address, () => undefined);
  opened.push(connect(address));
  await ownClosed;
  expect(callers).toBe(1);
});
