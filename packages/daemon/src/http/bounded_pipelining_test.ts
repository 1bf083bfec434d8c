/**
 * Requests that a client sends ahead without reading.
 *
 * @module
 */

import { once } from "node:events";
import type { Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import { MetricsListener } from "../gateway/metrics_listener.ts";
import { loopbackAddress, nextPort } from "../loopback.ts";
import { createBoundedServer } from "./bounded_pipelining.ts";

const REQUEST = "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n";
const HOST = loopbackAddress(1);

let server: Server;
let handled: number;
let client: Socket;

beforeEach(async () => {
  handled = 0;
  server = createBoundedServer((req, res) => {
    handled += 1;
    if (req.url !== "/hangs") {
      setTimeout(() => res.end("ok"), 5);
    }
  });
  server.listen(0, HOST);
  await once(server, "listening");
  client = connect((server.address() as AddressInfo).port, HOST);
  client.on("error", () => undefined);
});

afterEach(() => {
  client.destroy();
  server.close();
  server.closeAllConnections();
});

/** Resolves when the connection is closed, by a reset or in order. */
function closed(socket: Socket): Promise<unknown> {
  return new Promise((resolve) => socket.once("close", resolve));
}

test("thousands of requests that are sent ahead are not handled at once", async () => {
  client.resume();
  client.write(REQUEST.repeat(3_000));
  await closed(client);
  expect(handled).toBeLessThanOrEqual(16);
});

test.each([
  ["without a host", "GET /metrics HTTP/1.1\r\n\r\n"],
  [
    "with an unknown expectation",
    REQUEST.replace("\r\n\r\n", "\r\nExpect: x\r\n\r\n"),
  ],
])("requests %s are not kept by the thousand", async (_, request) => {
  // Their responses would wait for the one to the first request.
  client.resume();
  client.write(REQUEST.replace("/metrics", "/hangs") + request.repeat(3_000));
  await closed(client);
  expect(handled).toBeLessThanOrEqual(16);
});

test("a request without a host is refused", async () => {
  client.write("GET /metrics HTTP/1.1\r\n\r\n");
  const [data] = await once(client, "data");
  expect(String(data)).toMatch(/^HTTP\/1.1 400 /);
  expect(handled).toBe(0);
});

test("requests that are sent one after the other are all handled", async () => {
  for (let index = 0; index < 40; index++) {
    client.write(REQUEST);
    await once(client, "data");
  }
  expect(handled).toBe(40);
});

test("a metrics listener does not write thousands of responses that nobody reads", async () => {
  const port = nextPort();
  let texts = 0;
  const metrics = new MetricsListener({
    listen: { host: HOST, port },
    text: () => {
      texts += 1;
      return Promise.resolve("x");
    },
  });
  await metrics.start({ failed: (_task, err) => expect(err).toBeUndefined() });
  const reader = connect(port, HOST);
  reader.on("error", () => undefined);
  reader.write(REQUEST.repeat(3_000));
  reader.resume();
  await closed(reader);
  await metrics.stop();
  expect(texts).toBeLessThanOrEqual(16);
});
