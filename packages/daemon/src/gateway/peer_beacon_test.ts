/**
 * What VMs say to each other in datagrams.
 *
 * @module
 */

import { createSocket, type Socket } from "node:dgram";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import type { TargetId, VmId } from "@poplarthread/ids";
import { ownAddress } from "../loopback.ts";
import { type Heartbeat, PeerBeacon, type ZoneReport } from "./peer_beacon.ts";
import type { Member } from "./ports.ts";
import { memberNamed } from "./testing.ts";

const HOST = ownAddress(78);
const PORTS = { self: 17_720, near: 17_721, far: 17_722 };

let beacon: PeerBeacon;
let near: Socket;
let far: Socket;
let said: { near: Heartbeat[]; far: ZoneReport[] };
let isReporting: boolean;

function member(vm: string, port: number): Member {
  return memberNamed(vm, { peerAddress: `${HOST}:${port}` });
}

/** A peer that notes what it is told. */
async function peer(
  port: number,
  note: (params: never) => void,
): Promise<Socket> {
  const socket = createSocket("udp4");
  socket.on("message", (bytes) => {
    expect(bytes.length).toBeLessThan(1_400);
    note(JSON.parse(bytes.toString()).params as never);
  });
  await new Promise<void>((resolve) => socket.bind(port, HOST, resolve));
  return socket;
}

beforeEach(async () => {
  vi.useFakeTimers({ toFake: ["setInterval", "performance"] });
  said = { near: [], far: [] };
  isReporting = true;
  near = await peer(PORTS.near, (params) => said.near.push(params));
  far = await peer(PORTS.far, (params) => said.far.push(params));
  beacon = new PeerBeacon({
    listen: { host: HOST, port: PORTS.self },
    seeds: [],
    near: () => [member("vm-2", PORTS.near)],
    far: () => isReporting ? [member("vm-3", PORTS.far)] : [],
    sightings: () =>
      Array.from({ length: 45 }, (_, at) => ({
        vm: `front-tbilisi-saburtalo-${at}` as VmId,
        ageMs: 1_000,
        isLeaving: false,
      })),
    ownWord: () => ({
      member: member("vm-1", PORTS.self),
      isLeaving: false,
      seen: { operator: 1, targets: 2, members: 3 },
    }),
    heard: () => undefined,
    reported: () => undefined,
  });
  await beacon.start({ failed: () => undefined });
});

afterEach(async () => {
  await beacon.stop();
  near.close();
  far.close();
  vi.useRealTimers();
});

const CRASH = { digest: "abc", target: "t-1" as TargetId };

async function until(isDue: () => boolean): Promise<void> {
  await vi.waitFor(() => expect(isDue()).toBe(true));
}

test("VMs of the zone hear of this one, other zones of all", async () => {
  beacon.send({ kind: "beat" });
  await until(() => said.near.length === 1 && said.far.length === 2);
  expect(said.near[0]!.member.vm).toBe("vm-1");
  expect(said.far.flatMap(({ ages }) => Object.keys(ages))).toHaveLength(45);
});

test("other zones hear nothing from a VM that does not report", async () => {
  isReporting = false;
  beacon.send({ kind: "beat" });
  await until(() => said.near.length === 1);
  expect(said.far).toEqual([]);
});

test("a crash is told of for a while, and not for ever", async () => {
  // Each heartbeat that tells of a crash makes it count from then on. Told of for
  // ever, it would hold back a popular page for the rest of the day.
  beacon.send({ kind: "crash", crash: CRASH });
  await until(() => said.near.length === 1);
  expect(said.near[0]!.crashes).toEqual([CRASH]);
  vi.advanceTimersByTime(10_000);
  beacon.send({ kind: "beat" });
  await until(() => said.near.at(-1)!.crashes.length === 0);
});

test("a crash that another VM saw goes to other zones only", async () => {
  beacon.send({ kind: "pass-on", crash: CRASH });
  beacon.send({ kind: "beat" });
  await until(() => said.near.length === 1 && said.far.length === 2);
  expect(said.near[0]!.crashes).toEqual([]);
  expect(said.far[0]!.crashes).toEqual([CRASH]);
});
