/**
 * What a VM makes of the heartbeats of two processes of one other VM.
 *
 * @module
 */

import { createSocket, type Socket } from "node:dgram";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import type { InstanceId } from "@poplarthread/ids";
import { loopbackAddress } from "../loopback.ts";
import { SILENT_LOG } from "../silent_log.ts";
import { EventLog } from "./events.ts";
import { encodeNotification } from "./peer_messages.ts";
import { Peers } from "./peers.ts";
import { memberNamed } from "./testing.ts";

const HOST = loopbackAddress(80);
const PORT = 17_720;

let peers: Peers;
let sender: Socket;
let written: { event: string; reason?: string }[];
let ends: string[];

function record(event: string, fields: { reason?: string } = {}): void {
  written.push({ event, ...fields });
}

beforeEach(async () => {
  written = [];
  ends = [];
  const log = { ...SILENT_LOG, info: record, warn: record };
  peers = new Peers(
    {
      settings: { listen: { peers: { host: HOST, port: PORT } }, seeds: [] },
      self: memberNamed("n-1"),
      log: new EventLog(log),
      metrics: {
        stateChanged: () => undefined,
        vmEnded: (end: string) => ends.push(end),
      },
      path: () => ({
        suspects: { reports: () => [] },
        steering: { setFleetSize: () => undefined },
      }),
      feed: () => ({ seen: { seen: {}, era: 0 }, hint: () => undefined }),
      vmsChanged: () => undefined,
    } as unknown as ConstructorParameters<typeof Peers>[0],
  );
  await peers.beacon.start({ failed: () => undefined });
  peers.setServing(true);
  sender = createSocket("udp4");
});

afterEach(async () => {
  sender.close();
  await peers.beacon.stop();
});

/** Sends heartbeats of VM `n-2`, one for each process, and waits for `lines` more lines of the log. */
async function hear(
  instance: string,
  { lines, ...state }: {
    lines: number;
    isLeaving: boolean;
    isPaused?: boolean;
    hasFailed?: boolean;
  },
): Promise<void> {
  const member = memberNamed("n-2", {
    instance: instance as InstanceId,
    peerAddress: `${HOST}:1`,
    callerAddress: `${HOST}:2`,
  });
  const params = { member, ...state, seen: {}, crashes: [] };
  const expected = written.length + lines;
  sender.send(encodeNotification("heartbeat", params), PORT, HOST);
  await vi.waitFor(() => expect(written.length).toBe(expected));
}

function namesUp(): readonly string[] {
  return peers.vms.up(performance.now()).map(({ vm }) => vm);
}

test("the notice of a process that leaves does not hold for the next one", async () => {
  await hear("n-2.a", { isLeaving: false, lines: 1 });
  await hear("n-2.a", { isLeaving: true, lines: 1 });
  expect(namesUp()).toEqual(["n-1"]);
  await hear("n-2.b", { isLeaving: false, lines: 1 });
  expect(namesUp()).toEqual(["n-1", "n-2"]);
  await hear("n-2.a", { isLeaving: true, lines: 0 });
  // Datagrams of one socket arrive in order.
  await hear("n-2.b", { isLeaving: true, lines: 1 });
  expect(written.map(({ event }) => event)).toEqual([
    "peer up",
    "peer leaving",
    "peer up",
    "peer leaving",
  ]);
  expect(ends).toEqual(["stopped", "stopped"]);
});

test("a process that ends by itself does not go unnoticed", async () => {
  await hear("n-2.a", { isLeaving: false, lines: 1 });
  await hear("n-2.b", { isLeaving: false, lines: 2 });
  await hear("n-2.b", { isLeaving: true, hasFailed: true, lines: 2 });
  expect(ends).toEqual(["unannounced", "failed"]);
  expect(written.filter(({ event }) => event === "peer ended"))
    .toMatchObject([{ reason: "unannounced" }, { reason: "failed" }]);
});

test("a VM that pauses is left out until it goes on, and has not ended", async () => {
  await hear("n-2.a", { isLeaving: false, lines: 1 });
  await hear("n-2.a", { isLeaving: true, isPaused: true, lines: 1 });
  expect(namesUp()).toEqual(["n-1"]);
  await hear("n-2.a", { isLeaving: false, lines: 1 });
  expect(namesUp()).toEqual(["n-1", "n-2"]);
  expect(ends).toEqual([]);
});

test("a VM that can no longer serve says so to the others", async () => {
  // Look-ups of the others would name it until its heartbeats are missing.
  const other = createSocket("udp4");
  const heartbeats: { isLeaving: boolean; isPaused?: boolean }[] = [];
  other.on("message", (datagram) => {
    const { method, params } = JSON.parse(datagram.toString());
    if (method === "heartbeat") {
      heartbeats.push(params);
    }
  });
  await new Promise<void>((resolve) => other.bind(0, HOST, resolve));
  const { port } = other.address();
  peers.addRegistered([
    memberNamed("n-2", { peerAddress: `${HOST}:${port}` }),
  ], performance.now());
  peers.setServing(false);
  await vi.waitFor(() =>
    expect(heartbeats.at(-1)).toMatchObject({ isLeaving: true, isPaused: true })
  );
  peers.setFailed();
  peers.leave();
  await vi.waitFor(() =>
    expect(heartbeats.at(-1)).toMatchObject({
      isLeaving: true,
      hasFailed: true,
    })
  );
  other.close();
});
