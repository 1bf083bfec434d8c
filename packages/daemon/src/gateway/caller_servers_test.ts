/**
 * The servers for callers after their task was restarted.
 *
 * @module
 */

import { request } from "node:http";
import { afterEach, expect, test } from "vitest";
import { loopbackAddress, nextPort } from "../loopback.ts";
import { CallerServers } from "./caller_servers.ts";

const HOST = loopbackAddress(81);

const servers = new CallerServers({
  connected: () => undefined,
  clientError: (_err, socket) => void socket.destroy(),
  acceptFailed: () => undefined,
});

afterEach(() => servers.close());

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
  const start = () =>
    servers.add({ host: HOST, port }, (_req, res) => void res.end());
  await start();
  servers.setLimits({
    headerBytes: 1_000,
    bodyBytes: 1,
    headerTimeoutMs: 1_000,
    idleTimeoutMs: 1_000,
  });
  servers.close();
  await start();
  expect(await statusWithHeader(port, 100)).toBe(200);
  expect(await statusWithHeader(port, 2_000)).toBe(0);
});
