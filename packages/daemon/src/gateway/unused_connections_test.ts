/**
 * How long connections are kept on which no request has arrived.
 *
 * @module
 */

import { Socket } from "node:net";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { UnusedConnections } from "./unused_connections.ts";

const DURATION_MS = 1_000;

let expired: Socket[];
let connections: UnusedConnections;
let socket: Socket;

beforeEach(() => {
  vi.useFakeTimers();
  expired = [];
  connections = new UnusedConnections({
    expired: (socket) => expired.push(socket),
  });
  socket = new Socket();
  connections.keep(socket, DURATION_MS);
});

afterEach(() => {
  vi.useRealTimers();
});

test("a connection on which no request arrives expires once", () => {
  vi.advanceTimersByTime(DURATION_MS - 1);
  expect(expired).toEqual([]);
  vi.advanceTimersByTime(2 * DURATION_MS);
  expect(expired).toEqual([socket]);
});

test("a connection that is used does not expire", () => {
  connections.used(socket);
  expect(vi.getTimerCount()).toBe(0);
});

test("a connection that is closed does not expire", () => {
  socket.emit("close", false);
  expect(vi.getTimerCount()).toBe(0);
});
