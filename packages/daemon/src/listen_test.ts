/**
 * Binding listeners.
 *
 * @module
 */

import { createServer } from "node:net";
import { expect, test } from "vitest";
import { listen } from "./listen.ts";
import { ownAddress } from "./loopback.ts";

const HOST = ownAddress(79);

test("errors after the listener is up are reported, each of them", async () => {
  // The process has run out of descriptors, and a connection cannot be accepted.
  // If nobody listens for that error, the first one is swallowed by what waited for
  // the listener and the second one ends the process, with all its requests.
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

test("an address that is taken rejects", async () => {
  const first = createServer();
  await listen(first, { host: HOST, port: 17_720 }, () => undefined);
  await expect(
    listen(createServer(), { host: HOST, port: 17_720 }, () => undefined),
  ).rejects.toThrow("EADDRINUSE");
  first.close();
});
