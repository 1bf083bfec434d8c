import { Buffer } from "node:buffer";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { createInterface } from "node:readline";
import { text } from "node:stream/consumers";
import fc from "fast-check";
import { afterEach, expect, test } from "vitest";
import type { InstanceId, VmId } from "@poplarthread/ids";
import { SILENT_LOG } from "../silent_log.ts";
import { Metrics } from "../metrics.ts";
import { computeProof, newHello } from "./handshake.ts";
import type { PeerId, PeerNotification } from "./messages.ts";
import { PeerNetwork } from "./peer_network.ts";

const parent = {
  failed: (_: unknown, err: unknown) => {
    throw err;
  },
};

/** One VM's network, and the notifications that it received. */
interface TestPeer {
  readonly network: PeerNetwork;
  readonly received: string[];
  readonly metrics: Metrics;
  readonly address: string;
}

const peers: TestPeer[] = [];

async function start(vm: string, token = "shared-token"): Promise<TestPeer> {
  const received: string[] = [];
  const metrics = new Metrics();
  const network = new PeerNetwork({
    self: idOf(vm),
    token,
    host: "127.0.0.1",
    port: 0,
    handler: {
      handleNotification: (from, { method }) =>
        received.push(`${method} of ${from.vm}`),
      claim: () => Promise.resolve({ kind: "free" }),
      known: () => ({ ageMs: 0, lenders: [] }),
    },
    metrics,
    log: SILENT_LOG,
  });
  await network.start(parent);
  const address = `127.0.0.1:${network.port}`;
  const peer = { network, received, metrics, address };
  peers.push(peer);
  return peer;
}

function idOf(vm: string): PeerId {
  return { vm: vm as VmId, instance: `${vm}.1` as InstanceId };
}

function sendNotification(from: TestPeer, to: TestPeer): void {
  const notice: PeerNotification = {
    method: "slots",
    params: { kind: "give-back", loan: "l" },
  };
  const message = { to: "b" as VmId, address: to.address, notice };
  from.network.send({ kind: "send", ...message });
}

async function refusals({ metrics }: TestPeer): Promise<number> {
  const { values } = await metrics.refusedInput.get();
  return values.reduce((sum, { value }) => sum + value, 0);
}

/** Writes lines as an unauthenticated peer and reads one response for each. */
async function exchangeLines(
  socket: Socket,
  lines: readonly unknown[],
): Promise<unknown[]> {
  const responses: unknown[] = [];
  const reader = createInterface({ input: socket });
  for (const line of lines) {
    socket.write(`${JSON.stringify(line)}\n`);
    const [response] = await once(reader, "line");
    responses.push(JSON.parse(response as string));
  }
  return responses;
}

afterEach(async () => {
  await Promise.all(peers.splice(0).map(({ network }) => network.stop()));
});

test("peers with the same token exchange messages, and a closed link is reopened", async () => {
  // When a VM's daemon is replaced, its peers' links to it break. Unless they are
  // reopened automatically, the new daemon receives no messages.
  const a = await start("a");
  const b = await start("b");
  sendNotification(a, b);
  await expect.poll(() => b.received).toEqual(["slots of a"]);
  const peer = { vm: "b" as VmId, address: b.address };
  const call = { question: {} as never, waitMs: 1_000 };
  expect(await a.network.queryHolder(peer, call)).toEqual({ kind: "free" });
  a.network.send({ kind: "drop", vm: "b" as VmId });
  sendNotification(a, b);
  await expect.poll(() => b.received).toHaveLength(2);
});

test("a peer with a different token or protocol version is refused and counted", async () => {
  // A VM has an old token, or runs a build with another protocol version. If its
  // messages were accepted, it could lend slots that it does not own.
  const a = await start("a", "another-token");
  const b = await start("b");
  sendNotification(a, b);
  await expect.poll(() => refusals(b)).toBe(1);
  const socket = connect(b.network.port, "127.0.0.1");
  const old = { ...newHello(idOf("c")), version: 0 };
  const [response] = await exchangeLines(socket, [
    { jsonrpc: "2.0", id: 1, method: "hello", params: old },
  ]);
  expect(response).toMatchObject({
    error: { message: "Cannot speak protocol version 0: this is 1" },
  });
  await expect.poll(() => refusals(b)).toBe(2);
  expect(b.received).toEqual([]);
});

test("a recorded proof does not open a second connection", async () => {
  // An attacker records a handshake on the network and replays it later. That
  // must not be enough to authenticate as a VM.
  const b = await start("b");
  const hello = newHello(idOf("a"));
  const request = { jsonrpc: "2.0", id: 1, method: "hello", params: hello };
  const first = connect(b.network.port, "127.0.0.1");
  const [welcome] = await exchangeLines(first, [request]) as [
    { result: never },
  ];
  const proof = computeProof("shared-token", {
    side: "connecting",
    connecting: hello,
    listening: welcome.result,
  });
  const prove = { jsonrpc: "2.0", id: 2, method: "prove", params: { proof } };
  const second = connect(b.network.port, "127.0.0.1");
  const [, replayed] = await exchangeLines(second, [request, prove]);
  expect(replayed).toMatchObject({ error: { code: expect.any(Number) } });
  const [accepted] = await exchangeLines(first, [prove]);
  expect(accepted).toMatchObject({ result: true });
  first.destroy();
});

test("arbitrary input without a handshake does not stop the peers' listener", async () => {
  // Anything in the network can connect to the port: scanners, clients of other
  // protocols, peers of a broken build.
  const a = await start("a");
  const b = await start("b");
  const message = fc.record({
    jsonrpc: fc.constant("2.0"),
    id: fc.oneof(fc.integer(), fc.string()),
    method: fc.constantFrom("hello", "prove", "slots", "claim", "x"),
    params: fc.jsonValue(),
  });
  const line = fc.oneof(
    message.map((value) => `${JSON.stringify(value)}\n`),
    fc.jsonValue().map((value) => `${JSON.stringify(value)}\n`),
    fc.string().map((value) => `${value}\n`),
    fc.constant("x".repeat(5_000)),
  );
  await fc.assert(
    fc.asyncProperty(fc.array(line, { maxLength: 8 }), async (lines) => {
      const socket = connect(b.network.port, "127.0.0.1");
      socket.on("error", () => undefined);
      socket.end(Buffer.from(lines.join("")));
      await text(socket).catch(() => "");
    }),
    { seed: 7, numRuns: 100 },
  );
  expect(b.received).toEqual([]);
  sendNotification(a, b);
  await expect.poll(() => b.received).toEqual(["slots of a"]);
});
