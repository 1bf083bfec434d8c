import { afterEach, expect, test } from "vitest";
import fc from "fast-check";
import { OperatorApiError, OperatorClient } from "@poplarthread/operator-api";
import type { OperatorBackend, ProbeHandlers } from "../operator_backend.ts";
import { type OperatorListener, startOperatorListener } from "./mod.ts";
import { OperatorTokens, TokensError } from "./tokens.ts";

const TOKEN = "correct-token";
const probes: ProbeHandlers = {
  health: () => ({ status: 200, contentType: "text/plain", body: "ok" }),
  ready: () => ({ status: 503, contentType: "text/plain", body: "no preset" }),
  metrics: () =>
    Promise.resolve({ status: 200, contentType: "text/plain", body: "" }),
};
const accepted: unknown[] = [];
const backend = {
  presets: () => Promise.resolve([]),
  configuration: () => undefined,
  accept: (change: unknown) => {
    accepted.push(change);
    return Promise.resolve({ kind: "accepted", revision: 7 });
  },
} as unknown as OperatorBackend;

let listener: OperatorListener | undefined;
let refusedTokens = 0;

afterEach(async () => {
  await listener?.close();
  listener = undefined;
  accepted.length = 0;
  refusedTokens = 0;
});

async function start(token = TOKEN): Promise<OperatorClient> {
  listener = await startOperatorListener(backend, probes, {
    host: "127.0.0.1",
    port: 0,
    tokens: new OperatorTokens(JSON.stringify({ jana: TOKEN })),
    onUnauthenticated: () => refusedTokens++,
  });
  const url = `http://127.0.0.1:${listener.port}`;
  return new OperatorClient({ url, token, timeoutMs: 5_000 });
}

// Someone guesses tokens, or an operator's token was revoked. The response says
// only that a token is needed, and the refusal is counted.
test("a request without a known token is refused and counted", async () => {
  const client = await start("wrong-token");
  await expect(client.presets()).rejects.toMatchObject({ status: 401 });
  expect(refusedTokens).toBe(1);
  await client.close();
});

test("a change is recorded under the operator name of its token", async () => {
  const client = await start();
  const response = await client.change({
    operation: "operation-1" as never,
    seenRevision: 6,
    why: "works on the line",
    change: { kind: "drain", subject: { kind: "zone", id: "zilina-1" } },
  });
  expect(response).toEqual({ kind: "accepted", revision: 7 });
  expect(accepted).toMatchObject([{ who: "jana", seenRevision: 6 }]);
  await client.close();
});

// An invalid preset must not be written, since every VM would read it. The
// operator gets the findings with their positions instead.
test("a preset with findings is not written to the table", async () => {
  const client = await start();
  const response = await client.change({
    operation: "operation-2" as never,
    seenRevision: 6,
    why: "try",
    change: { kind: "edit", preset: {} as never },
  }).catch((err: OperatorApiError) => err);
  expect(response).toBeInstanceOf(OperatorApiError);
  expect((response as OperatorApiError).errorBody?.findings?.length)
    .toBeGreaterThan(
      5,
    );
  expect(accepted).toEqual([]);
  await client.close();
});

// A broken script sends arbitrary requests with a valid token. The listener
// answers each with a client error and keeps serving.
test("arbitrary requests get client errors and do not stop the listener", async () => {
  const client = await start();
  const url = `http://127.0.0.1:${listener!.port}`;
  const path = fc.webPath();
  const body = fc.oneof(fc.json(), fc.string(), fc.jsonValue().map(String));
  await fc.assert(
    fc.asyncProperty(path, body, async (path, body) => {
      const res = await fetch(`${url}/v1/${path}`, {
        method: "POST",
        headers: { authorization: `Bearer ${TOKEN}` },
        body,
      });
      await res.text();
      return res.status >= 400 && res.status < 500;
    }),
    { seed: 11, numRuns: 60 },
  );
  expect(await client.presets()).toEqual([]);
  await client.close();
});

test("probes do not require a token", async () => {
  await start();
  const res = await fetch(`http://127.0.0.1:${listener!.port}/readyz`);
  expect([res.status, await res.text()]).toEqual([503, "no preset"]);
});

// The tokens file holds secrets, so the error for a malformed one, which is
// logged, must not quote its text.
test("a malformed tokens file is refused without quoting it", () => {
  expect(() => new OperatorTokens('{"jana": "secret-')).toThrow(TokensError);
  expect(() => new OperatorTokens('{"jana": "secret-')).not.toThrow(/secret/);
});
