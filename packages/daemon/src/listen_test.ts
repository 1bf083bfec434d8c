/**
 * Tests of binding a server and of its later errors.
 *
 * @module
 */

import { createServer } from "node:net";
import { expect, test } from "vitest";
import { listen } from "./listen.ts";
import { loopbackAddress } from "./loopback.ts";

const HOST = loopbackAddress(79);

test("every error after the server is listening is reported", async () => {
  // The process has run out of file descriptors and cannot accept connections.
  // Without a lasting error handler, the handler that waits for the bind consumes
  // the first such error, and the second ends the process with all its requests.
  const server = createServer();
  const errors: string[] = [];
  await listen(server, { host: HOST, port: 17_720 }, (err) => {
    errors.push(err.message);
  });
  server.emit("error", new Error("first"));
  server.emit("error", new Error("second"));
  server.close();
  expect(errors).toEqual(["first", "second"]);
});

test("listen rejects if the address is in use", async () => {
  const first = createServer();
  await listen(first, { host: HOST, port: 17_720 }, () => undefined);
  await expect(
    listen(createServer(), { host: HOST, port: 17_720 }, () => undefined),
  ).rejects.toThrow("EADDRINUSE");
  first.close();
});
