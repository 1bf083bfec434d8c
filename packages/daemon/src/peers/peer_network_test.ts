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
import { newHello, proofOf } from "./handshake.ts";
import type { PeerId, PeerNotice } from "./messages.ts";
import { PeerNetwork } from "./peer_network.ts";

const parent = {
  failed: (_: unknown, err: unknown) => {
    throw err;
  },
};

/** One VM's network, and what it heard. */
interface TestPeer {
  readonly network: PeerNetwork;
  readonly heard: string[];
  readonly metrics: Metrics;
  readonly address: string;
}

const peers: TestPeer[] = [];

async function start(vm: string, token = "shared-token"): Promise<TestPeer> {
  const heard: string[] = [];
  const metrics = new Metrics();
  const network = new PeerNetwork({
    self: idOf(vm),
    token,
    host: "127.0.0.1",
    port: 0,
    handler: {
      notice: (from, { method }) => heard.push(`${method} of ${from.vm}`),
      claim: () => Promise.resolve({ kind: "free" }),
      known: () => ({ ageMs: 0, lenders: [] }),
    },
    metrics,
    log: SILENT_LOG,
  });
  await network.start(parent);
  const address = `127.0.0.1:${network.port}`;
  const peer = { network, heard, metrics, address };
  peers.push(peer);
  return peer;
}

function idOf(vm: string): PeerId {
  return { vm: vm as VmId, instance: `${vm}.1` as InstanceId };
}

function say(from: TestPeer, to: TestPeer): void {
  const notice: PeerNotice = {
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

/** Writes lines as a stranger and reads the answers, one for each line. */
async function converse(
  socket: Socket,
  lines: readonly unknown[],
): Promise<unknown[]> {
  const answers: unknown[] = [];
  const reader = createInterface({ input: socket });
  for (const line of lines) {
    socket.write(`${JSON.stringify(line)}\n`);
    const [answer] = await once(reader, "line");
    answers.push(JSON.parse(answer as string));
  }
  return answers;
}

afterEach(async () => {
  await Promise.all(peers.splice(0).map(({ network }) => network.stop()));
});

test("peers with the same token talk, and a link that broke comes back", async () => {
  // A VM's daemon is replaced. Its peers' links to it break, and must come
  // back by themselves, or the new daemon would hear of nothing.
  const a = await start("a");
  const b = await start("b");
  say(a, b);
  await expect.poll(() => b.heard).toEqual(["slots of a"]);
  const peer = { vm: "b" as VmId, address: b.address };
  const call = { question: {} as never, waitMs: 1_000 };
  expect(await a.network.askHolder(peer, call)).toEqual({ kind: "free" });
  a.network.send({ kind: "drop", vm: "b" as VmId });
  say(a, b);
  await expect.poll(() => b.heard).toHaveLength(2);
});

test("a peer with another token or version is refused and counted", async () => {
  // A VM is set up with an old token, or runs a build that speaks otherwise.
  // Heard all the same, it could hand out slots that are not its own.
  const a = await start("a", "another-token");
  const b = await start("b");
  say(a, b);
  await expect.poll(() => refusals(b)).toBe(1);
  const socket = connect(b.network.port, "127.0.0.1");
  const old = { ...newHello(idOf("c")), version: 0 };
  const [answer] = await converse(socket, [
    { jsonrpc: "2.0", id: 1, method: "hello", params: old },
  ]);
  expect(answer).toMatchObject({
    error: { message: "Cannot speak protocol version 0: this is 1" },
  });
  await expect.poll(() => refusals(b)).toBe(2);
  expect(b.heard).toEqual([]);
});

test("a recorded proof does not open a second connection", async () => {
  // Somebody records a handshake on the network and plays it back later. The
  // token would be worth nothing if that were enough to be taken for a VM.
  const b = await start("b");
  const hello = newHello(idOf("a"));
  const request = { jsonrpc: "2.0", id: 1, method: "hello", params: hello };
  const first = connect(b.network.port, "127.0.0.1");
  const [welcome] = await converse(first, [request]) as [{ result: never }];
  const proof = proofOf("shared-token", {
    side: "connecting",
    connecting: hello,
    listening: welcome.result,
  });
  const prove = { jsonrpc: "2.0", id: 2, method: "prove", params: { proof } };
  const second = connect(b.network.port, "127.0.0.1");
  const [, replayed] = await converse(second, [request, prove]);
  expect(replayed).toMatchObject({ error: { code: expect.any(Number) } });
  const [accepted] = await converse(first, [prove]);
  expect(accepted).toMatchObject({ result: true });
  first.destroy();
});

test("nothing that a stranger sends takes the peers' listener down", async () => {
  // The port is open to whatever runs in the network: scanners, other
  // protocols, a peer of a broken build.
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
  expect(b.heard).toEqual([]);
  say(a, b);
  await expect.poll(() => b.heard).toEqual(["slots of a"]);
});
