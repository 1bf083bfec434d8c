import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import { expect, test } from "vitest";
import { requestDigest, responseBody } from "../work_protocol.ts";
import { readBytes } from "../http_json.ts";
import { Caller } from "./caller.ts";
import { LOOKUP_PATH } from "./lookup.ts";
import { MIXES } from "./request_kind.ts";

const BOOKING = MIXES.kinolenta.find(({ name }) => name === "booking")!;

/** Runs `body` with a fake entry VM whose look-up returns only itself. */
async function withVm(
  handleWork: RequestListener,
  body: (caller: Caller, address: string) => Promise<void>,
): Promise<void> {
  const server = createServer((req, res) => {
    if (req.url !== LOOKUP_PATH) {
      return handleWork(req, res);
    }
    const vms = [{ address: req.headers.host }];
    res.end(JSON.stringify({ lifetimeMs: 60_000, vms }));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const address = `127.0.0.1:${port}`;
  const caller = new Caller({
    name: "c",
    localAddress: "127.0.0.1",
    // Nothing listens on the first address: callers must try the next.
    bootstrap: ["127.0.0.1:1", address],
  });
  try {
    await body(caller, address);
  } finally {
    await caller.close();
    server.closeAllConnections();
    server.close();
  }
}

function respondWith(share: number): RequestListener {
  return async (req, res) => {
    const body = await readBytes(req);
    const key = String(req.headers["idempotency-key"]);
    const digest = requestDigest({ method: "POST", path: req.url!, key, body });
    const complete = responseBody(digest, BOOKING.responseBytes);
    res.end(complete.subarray(0, Math.floor(complete.length * share)));
  };
}

test("a keyed request is retried with the same key after its connection broke", async () => {
  const keys: unknown[] = [];
  const respond = respondWith(1);
  await withVm((req, res) => {
    keys.push(req.headers["idempotency-key"]);
    if (keys.length === 1) {
      res.destroy();
      return;
    }
    respond(req, res);
  }, async (caller) => {
    const { outcome, key } = await caller.send(BOOKING);
    expect(outcome).toBe("served");
    expect(keys).toEqual([key, key]);
    expect(caller.results.report()).toMatchObject({
      requests: 1,
      repeats: { sent: 1, served: 1 },
    });
  });
});

test("a truncated body in a complete HTTP response is counted as partial", async () => {
  await withVm(respondWith(0.5), async (caller) => {
    await caller.send(BOOKING);
    expect(caller.results.report()).toMatchObject({
      partialResponses: 1,
      servedKeys: [],
    });
  });
});

test("a request falls back to the next VM if one accepts no connection, since nothing was sent", async () => {
  await withVm(respondWith(1), async (caller) => {
    const { outcome, attempts } = await caller.send(BOOKING, {
      via: "127.0.0.1:1",
    });
    expect(outcome).toBe("served");
    expect(attempts.map(({ kind }) => kind)).toEqual(["not-taken", "served"]);
  });
});
