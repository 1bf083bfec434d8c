import { Buffer } from "node:buffer";
import {
  Agent,
  get,
  type IncomingMessage,
  type RequestListener,
} from "node:http";
import { connect } from "node:net";
import { text } from "node:stream/consumers";
import { setTimeout as sleep } from "node:timers/promises";
import fc from "fast-check";
import { afterEach, expect, test } from "vitest";
import { startPath, type TestPath, type TestPathOptions } from "../testing.ts";

let path: TestPath | undefined;

async function start(
  targets: readonly RequestListener[],
  options?: TestPathOptions,
): Promise<TestPath> {
  path = await startPath(targets, options);
  return path;
}

afterEach(async () => {
  await path?.close();
  path = undefined;
});

const echo: RequestListener = async (req, res) => {
  res.end(`${req.url} ${await text(req)}`);
};

test("hop-by-hop headers are not forwarded, and proxy loops are refused", async () => {
  // A caller or target sends headers that apply only to its own connection. If
  // forwarded, they could confuse the other side or allow request smuggling.
  let received: IncomingMessage | undefined;
  const { sendRaw, port } = await start([(req, res) => {
    received = req;
    res.writeHead(200, {
      "connection": "x-internal",
      "x-internal": "1",
      "poplarthread-outcome": "not-run",
      "x-kept": "1",
    }).end("ok");
  }]);
  const response = await sendRaw(
    `GET /a?b=c HTTP/1.1\r\nHost: shop.example\r\nConnection: close, X-Secret\r\n` +
      "X-Secret: 1\r\nTE: trailers\r\nProxy-Authorization: x\r\nX-Kept: 1\r\n" +
      "Poplarthread-Deadline-Ms: 900\r\n\r\n",
  );
  expect(received!.url).toBe("/a?b=c");
  const { "poplarthread-deadline-ms": deadline, ...headers } =
    received!.headers;
  expect(Number(deadline)).toBeGreaterThan(0);
  expect(Number(deadline)).toBeLessThanOrEqual(900);
  expect(headers).toEqual({
    "host": "shop.example",
    "connection": "keep-alive",
    "x-kept": "1",
    "via": "1.1 vm-1",
    "forwarded": "for=127.0.0.1;by=_vm-1",
    "poplarthread-hops": "1",
    "poplarthread-request-id": "test-1",
  });
  expect(response).toContain("x-kept: 1");
  expect(response).not.toMatch(/x-internal|poplarthread-outcome/);
  const again = await fetch(`http://127.0.0.1:${port}/`, {
    headers: { via: "1.1 vm-2, 1.1 vm-1" },
  });
  expect(again.status).toBe(508);
});

test("a truncated response never looks complete", async () => {
  // The target crashes in the middle of its response. If the connection were
  // closed cleanly, the caller would take the partial response as complete.
  const { send, ends } = await start([(_, res) => {
    res.writeHead(200);
    res.write("half");
    setTimeout(() => res.destroy(), 20);
  }]);
  await expect(send("/playlist")).rejects.toThrow();
  expect(ends).toEqual(["broken"]);
});

test("a response after the deadline is discarded", async () => {
  // The target responds after its caller got a deadline error. The next request
  // on the same connection must get its own response.
  let release: () => void = () => undefined;
  const { port } = await start([(req, res) => {
    if (req.url === "/slow") {
      release = () => res.end("late");
      return;
    }
    release();
    res.end("second");
  }]);
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const fetchText = (url: string) =>
    new Promise<string>((resolve, reject) => {
      const headers = { "poplarthread-deadline-ms": "200" };
      const options = { host: "127.0.0.1", port, path: url, agent, headers };
      get(
        options,
        async (res) => resolve(`${res.statusCode} ${await text(res)}`),
      )
        .on("error", reject);
    });
  expect(await fetchText("/slow")).toMatch(/^504 .*"outcome":"unknown"/);
  expect(await fetchText("/next")).toBe("200 second");
  agent.destroy();
});

test("an at-most-once request is not retried when its connection breaks", async () => {
  // The target receives an order, and its connection breaks before the response.
  // The order may have run, so a retry could run it twice.
  let orders = 0;
  const drop: RequestListener = (req) => {
    orders += 1;
    req.socket.destroy();
  };
  const { send } = await start([drop, drop]);
  const response = await send("/orders", { method: "POST", body: "one slot" });
  expect(response.status).toBe(502);
  expect(response.headers.get("poplarthread-outcome")).toBe("unknown");
  expect(orders).toBe(1);
});

test("an idempotent request is retried at another target when its connection breaks", async () => {
  // One of two targets breaks every connection. Without a retry at the other one,
  // callers would get avoidable errors.
  const drop: RequestListener = (req) => req.socket.destroy();
  const { send } = await start([drop, echo]);
  for (let n = 0; n < 6; n++) {
    const response = await send("/page", { method: "POST", body: `body ${n}` });
    expect(response).toMatchObject({ status: 200, body: `/page body ${n}` });
  }
});

test("a request that broke connections to two targets is not sent to a third", async () => {
  // A request crashes every target that handles it. With unlimited retries, it
  // would take down one target after the other.
  let attempts = 0;
  const crash: RequestListener = (req) => {
    attempts += 1;
    req.socket.destroy();
  };
  const { send } = await start([crash, crash, crash, crash]);
  expect((await send("/playlist")).status).toBe(502);
  expect(attempts).toBe(2);
  // Longer than the window in which failures of a target are collected; on a busy
  // machine the wait only gets longer.
  await sleep(200);
  const again = await send("/playlist");
  expect(again.headers.get("poplarthread-outcome")).toBe("not-run");
  expect(again.body).toContain("held-back");
  expect(attempts).toBe(2);
});

test("a caller that stops sending its body gets 408, and the request reaches no target", async () => {
  // A caller declares bodies that it never sends, in many requests. Each of them
  // would hold one of the target's few slots.
  let requests = 0;
  const { sendRaw, ends } = await start([() => requests += 1], {
    limits: { bodyIdleTimeoutMs: 50 },
  });
  const raw = await sendRaw(
    "POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc",
  );
  expect(raw).toMatch(/^HTTP\/1\.1 408 [^]*poplarthread-outcome: not-run/);
  expect([requests, ends]).toEqual([0, ["slow-sender"]]);
});

test("large bodies are streamed in both directions up to the limit", async () => {
  // One body is too large to buffer for each caller; another exceeds the limit
  // without declaring its length.
  const { send, sendRaw, ends } = await start([(req, res) => {
    req.pipe(res);
  }], { limits: { bodyBytes: 3_000_000 } });
  const body = "0123456789".repeat(250_000);
  const response = await send("/copy", { method: "POST", body });
  expect(response.body === body).toBe(true);
  const chunk = `10000\r\n${"x".repeat(65_536)}\r\n`;
  const raw = await sendRaw(
    "POST /copy HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
      chunk.repeat(60),
  );
  expect(raw).not.toContain("0\r\n\r\n");
  expect(ends.filter((end) => end === "served")).toHaveLength(1);
});

test("a planned stop completes requests in flight before it ends", async () => {
  // An operator stops a VM while orders are in flight. If they were aborted,
  // callers would not know whether their orders had run.
  let release: () => void = () => undefined;
  const { send, listener } = await start([(_, res) => {
    release = () => res.end("done");
  }]);
  const inFlight = send("/orders", { method: "POST", body: "x" });
  await expect.poll(() => listener.inFlight).toBe(1);
  listener.send({ kind: "drain" });
  await expect(send("/orders", { method: "POST" })).rejects.toThrow();
  setTimeout(() => release(), 20);
  expect((await inFlight).body).toBe("done");
  await listener.whenIdle();
});

test("arbitrary input from callers does not stop the listener", async () => {
  // Anyone can connect to the callers' port, including broken or malicious
  // clients.
  const { sendRaw, send } = await start([echo], {
    limits: { headerTimeoutMs: 200, bodyIdleTimeoutMs: 200 },
  });
  const line = fc.constantFrom(
    "Host: a",
    "Content-Length: 5",
    "Content-Length: -1",
    "Transfer-Encoding: chunked",
    "Connection: upgrade",
    "Idempotency-Key: k",
    "Poplarthread-Deadline-Ms: 1e999",
    "Poplarthread-Hops: x",
    "Via: ,,1.1 ,vm-1",
    `X: ${"y".repeat(20_000)}`,
  );
  const target = fc.constantFrom(
    "/",
    "/orders",
    "/%",
    "/../orders",
    "*",
    "//a",
  );
  const shaped = fc.tuple(
    fc.constantFrom("GET", "POST", "HEAD", "CONNECT", "BREW"),
    target,
    fc.array(line, { maxLength: 5 }),
    fc.string({ maxLength: 30 }),
  ).map(([method, url, lines, body]) =>
    Buffer.from(
      `${method} ${url} HTTP/1.1\r\n${lines.join("\r\n")}\r\n\r\n${body}`,
    )
  );
  const anything = fc.uint8Array({ maxLength: 200 }).map((bytes) =>
    Buffer.from(bytes)
  );
  await fc.assert(
    fc.asyncProperty(
      fc.array(fc.oneof(shaped, anything), { minLength: 20, maxLength: 20 }),
      async (inputs) => {
        await Promise.all(inputs.map((bytes) =>
          new Promise((done) => {
            const socket = connect(path!.port, "127.0.0.1", () => {
              socket.write(bytes);
              setTimeout(() => socket.destroy(), 30);
            });
            socket.on("error", done).on("close", done).resume();
          })
        ));
        expect((await send("/still")).body).toBe("/still ");
      },
    ),
    { seed: 7, numRuns: 15 },
  );
  expect(await sendRaw("nonsense\r\n\r\n")).toMatch(/^HTTP\/1\.1 400 /);
});
