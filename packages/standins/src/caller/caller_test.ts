import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import { expect, test } from "vitest";
import { answerOf, digestOf } from "../work.ts";
import { readBytes } from "../http_json.ts";
import { Caller } from "./caller.ts";
import { LOOKUP_PATH } from "./lookup.ts";
import { MIXES } from "./request_kind.ts";

const BOOKING = MIXES.kinolenta.find(({ name }) => name === "booking")!;

/** Plays one entry VM that is the only one named by its look-up. */
async function onVm(
  work: RequestListener,
  body: (caller: Caller, address: string) => Promise<void>,
): Promise<void> {
  const server = createServer((req, res) => {
    if (req.url !== LOOKUP_PATH) {
      return work(req, res);
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
    // Nobody listens on the first: callers must go on to the next.
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

function answering(part: number): RequestListener {
  return async (req, res) => {
    const body = await readBytes(req);
    const key = String(req.headers["idempotency-key"]);
    const digest = digestOf({ method: "POST", path: req.url!, key, body });
    const whole = answerOf(digest, BOOKING.answerBytes);
    res.end(whole.subarray(0, Math.floor(whole.length * part)));
  };
}

test("a broken connection makes a keyed request go out again under its key", async () => {
  const keys: unknown[] = [];
  const answer = answering(1);
  await onVm((req, res) => {
    keys.push(req.headers["idempotency-key"]);
    if (keys.length === 1) {
      res.destroy();
      return;
    }
    answer(req, res);
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

test("an answer that is cut short but looks whole is counted as partial", async () => {
  await onVm(answering(0.5), async (caller) => {
    await caller.send(BOOKING);
    expect(caller.results.report()).toMatchObject({
      partialAnswers: 1,
      servedKeys: [],
    });
  });
});

test("a VM that takes no connection is passed over, since nothing was sent", async () => {
  await onVm(answering(1), async (caller) => {
    const { outcome, attempts } = await caller.send(BOOKING, {
      via: "127.0.0.1:1",
    });
    expect(outcome).toBe("served");
    expect(attempts.map(({ kind }) => kind)).toEqual(["not-taken", "served"]);
  });
});
