/**
 * Responses of a JSON server that never end.
 *
 * @module
 */

import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { afterEach, expect, test } from "vitest";
import { JsonClient } from "./json_client.ts";
import type { ExchangeEnd } from "./json_exchange.ts";

/** Long before a response without end times out. */
const SOON_MS = 3_000;
/** Several times the largest response. */
const MAX_SENT_BYTES = 33_554_432;
const PART = "x".repeat(16_000);
const FIELDS = `X-Field: ${"y".repeat(100)}\r\n`.repeat(100);
const HEAD = "HTTP/1.1 200 OK\r\n";
const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;

let server: Server | undefined;
let client: JsonClient | undefined;

afterEach(() => {
  client?.close();
  server?.close();
});

interface Outcome {
  readonly err: unknown;
  readonly end: ExchangeEnd | undefined;
  readonly sentBytes: number;
}

/** Calls a server that sends `head`, and then `part` until the connection is closed. */
async function callFlood(head: string, part: string): Promise<Outcome> {
  let closed!: (sentBytes: number) => void;
  const sent = new Promise<number>((resolve) => closed = resolve);
  server = createServer((socket) => flood(socket, { head, part, closed }));
  await new Promise<void>((resolve) => server!.listen(0, "127.0.0.1", resolve));
  client = new JsonClient({
    host: "127.0.0.1",
    port: (server.address() as AddressInfo).port,
    onSilentConnections: () => undefined,
  });
  let end: ExchangeEnd | undefined;
  const err = await client.call({
    method: "GET",
    path: "/",
    timeoutMs: 10_000,
    ended: (one) => end = one,
  }).catch((reason: unknown) => reason);
  return { err, end, sentBytes: await sent };
}

function flood(socket: Socket, { head, part, closed }: {
  readonly head: string;
  readonly part: string;
  closed(sentBytes: number): void;
}): void {
  const send = () => {
    while (
      part !== "" && !socket.destroyed &&
      socket.bytesWritten < MAX_SENT_BYTES && socket.write(part)
    ) {
      // Until the socket's buffer is full.
    }
  };
  socket.on("error", () => undefined);
  socket.on("close", () => closed(socket.bytesWritten));
  socket.on("drain", () => setImmediate(send));
  socket.once("data", () => {
    socket.write(head);
    send();
  });
}

test.each([
  ["chunks of 4 bytes", CHUNKED, "4\r\nxxxx\r\n".repeat(1_600)],
  ["one body without a length", `${HEAD}Connection: close\r\n\r\n`, PART],
  ["a body with a length", `${HEAD}Content-Length: 100000000000\r\n\r\n`, ""],
  [
    "a body of an error",
    "HTTP/1.1 503 Busy\r\nConnection: close\r\n\r\n",
    PART,
  ],
  ["interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n".repeat(600)],
])("%s without end are too large", async (_what, head, part) => {
  // The process would fill its memory until it is killed.
  const startedAt = performance.now();
  const { err, end, sentBytes } = await callFlood(head, part);
  expect(err).toMatchObject({ message: "The JSON response is too large" });
  expect(end).toMatchObject({ kind: "too-large" });
  expect(sentBytes).toBeLessThan(MAX_SENT_BYTES);
  expect(performance.now() - startedAt).toBeLessThan(SOON_MS);
});

test.each([
  ["a header field", `${HEAD}X-Field: `, PART],
  ["header fields", HEAD, FIELDS],
  ["a chunk extension", `${CHUNKED}5;`, PART],
  ["trailers", `${CHUNKED}1\r\n1\r\n0\r\n`, FIELDS],
  ["bytes of no protocol", "", PART],
])("%s without end are no response", async (_what, head, part) => {
  // Nothing of them is part of a body, whose size is bounded.
  const startedAt = performance.now();
  const { err, sentBytes } = await callFlood(head, part);
  expect(err).toBeInstanceOf(Error);
  expect(sentBytes).toBeLessThan(MAX_SENT_BYTES);
  expect(performance.now() - startedAt).toBeLessThan(SOON_MS);
});

test("a response of millions of values is too large, though it has few bytes", async () => {
  // Its objects would fill the heap of a small VM, and end the process.
  const body = `[${"{},".repeat(1_000_000)}1]`;
  const head = `${HEAD}Connection: close\r\n` +
    `Content-Length: ${body.length}\r\n\r\n`;
  const { err, end } = await callFlood(`${head}${body}`, "");
  expect(err).toMatchObject({ message: "The JSON response is too large" });
  expect(end).toMatchObject({ kind: "too-large" });
});
