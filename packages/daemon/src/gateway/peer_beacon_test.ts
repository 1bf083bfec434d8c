/**
 * Messages between VMs in datagrams.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { createSocket, type Socket } from "node:dgram";
import { afterEach, beforeEach, describe, expect, test, vi } from "vitest";
import type { RegionId, TargetId, VmId } from "@poplarthread/ids";
import {
  type Fingerprint,
  type HeldBackReport,
  targetRun,
} from "@poplarthread/coordination/held_back";
import type { HashedPair } from "@poplarthread/placement";
import { loopbackAddress } from "../loopback.ts";
import type { LimitUpdate } from "./limit_updates.ts";
import { PeerBeacon } from "./peer_beacon.ts";
import {
  decodeSuspects,
  encodeSuspect,
  type Heartbeat,
  type ZoneReport,
} from "./peer_messages.ts";
import type { Member } from "./ports.ts";
import { memberNamed } from "./testing.ts";
import { decodePairs, encodePairs } from "./warm_updates.ts";

const HOST = loopbackAddress(78);
const PORTS = { self: 17_720, near: 17_721, far: 17_722 };

let beacon: PeerBeacon;
let near: Socket;
let far: Socket;
/** Heartbeats and zone reports that the peers received. */
let sent: { near: Heartbeat[]; far: ZoneReport[] };
/** Warm pairs that the peers received, by the peer's port. */
let warm: Map<number, HashedPair[]>;
/** Limit updates that the peers received, by the peer's port. */
let limits: Map<number, { target: string; perSecond: number | null }[]>;
/** Warm pairs that the beacon received. */
let receivedWarm: HashedPair[];
/** Limit updates that the beacon received. */
let receivedLimits: LimitUpdate[];
let isDelegate: boolean;
let areOverloaded: boolean;
/** What is known of requests that may crash targets. */
let suspects: readonly HeldBackReport[];
let zonePeers: readonly Member[];
let farMember: Member;

function member(vm: string, port: number): Member {
  return memberNamed(vm, { peerAddress: `${HOST}:${port}` });
}

/** A peer that records the messages it receives. */
async function peer(
  port: number,
  record: (params: never) => void,
): Promise<Socket> {
  const socket = createSocket("udp4");
  socket.on("message", (bytes) => {
    expect(bytes.length).toBeLessThan(1_400);
    const { params } = JSON.parse(bytes.toString());
    if ("limits" in params) {
      limits.set(port, [...limits.get(port) ?? [], ...params.limits]);
    } else if ("pairs" in params) {
      const before = warm.get(port) ?? [];
      warm.set(port, [...before, ...decodePairs(params.pairs)]);
    } else {
      record(params as never);
    }
  });
  await new Promise<void>((resolve) => socket.bind(port, HOST, resolve));
  return socket;
}

beforeEach(async () => {
  vi.useFakeTimers({ toFake: ["setInterval", "performance"] });
  sent = { near: [], far: [] };
  warm = new Map();
  limits = new Map();
  receivedWarm = [];
  receivedLimits = [];
  isDelegate = true;
  areOverloaded = false;
  suspects = [];
  zonePeers = [member("vm-2", PORTS.near)];
  farMember = member("vm-3", PORTS.far);
  near = await peer(PORTS.near, (params) => sent.near.push(params));
  far = await peer(PORTS.far, (params) => sent.far.push(params));
  beacon = new PeerBeacon({
    listen: { host: HOST, port: PORTS.self },
    seeds: () => [],
    isSilent: () => false,
    zonePeers: () => zonePeers,
    reportRecipients: () => isDelegate ? [farMember] : [],
    isZoneDelegate: () => isDelegate,
    warmRecipients: () => isDelegate ? [member("vm-3", PORTS.far)] : [],
    warmPairs: () => Array.from({ length: 2_000 }, (_, at) => pair(at)),
    warmReceived: (pairs) => receivedWarm.push(...pairs),
    limitsReceived: (updates) => receivedLimits.push(...updates),
    suspects: (maxCrashes) => chosen(suspects, maxCrashes),
    zoneVmStatuses: () =>
      Array.from({ length: 45 }, (_, at) => ({
        vm: `front-tbilisi-saburtalo-${at}` as VmId,
        ageMs: 1_000,
        isLeaving: false,
        isOverloaded: areOverloaded && at % 9 > 0,
      })),
    localState: () => ({
      member: member("vm-1", PORTS.self),
      isLeaving: false,
      seen: { operator: 1, targets: 2, members: 3 },
    }),
    heartbeatReceived: () => undefined,
    zoneReportReceived: () => undefined,
  });
  await beacon.start({ failed: () => undefined });
});

afterEach(async () => {
  await beacon.stop();
  near.close();
  far.close();
  vi.useRealTimers();
});

/** A pair whose object hash uses all 32 bits. */
function pair(target: number): HashedPair {
  return { object: 4_000_000_000, target };
}

/** Reports with names of usual length, and more of them than fit into a datagram. */
function manySuspects(): readonly HeldBackReport[] {
  return Array.from({ length: 20 }, (_, at) => ({
    fingerprint: `fingerprnt${at}+caller` as Fingerprint,
    crashes: [1, 2, 3].map((run) => ({
      run: targetRun(`i-59bdf42${at}${run}` as TargetId, "1x2y3z4"),
      ageMs: 123_456 + run,
    })),
    count: 12,
    completedAgeMs: 234_567,
  }));
}

/** The first reports that have at most `maxCrashes` crashes together. */
function chosen(
  reports: readonly HeldBackReport[],
  maxCrashes: number,
): readonly HeldBackReport[] {
  return reports.slice(0, Math.floor(maxCrashes / 3));
}

async function until(isDue: () => boolean): Promise<void> {
  await vi.waitFor(() => expect(isDue()).toBe(true));
}

test("the zone gets heartbeats, other zones get reports on all VMs", async () => {
  beacon.send({ kind: "beat" });
  await until(() => sent.near.length === 1 && sent.far.length === 2);
  expect(sent.near[0]!.member.vm).toBe("vm-1");
  expect(sent.far.flatMap(({ ages }) => Object.keys(ages))).toHaveLength(45);
});

test("zone reports tell which VMs lack processor time", async () => {
  // Guards against look-ups of other zones that go on naming these VMs, and reports that exceed a datagram.
  areOverloaded = true;
  beacon.send({ kind: "beat" });
  await vi.waitFor(() => expect(sent.far.length).toBe(2));
  const overloaded = sent.far.flatMap(({ ages, overloaded = [] }) =>
    overloaded.map((index) => Object.keys(ages)[index])
  );
  expect(overloaded.length).toBe(40);
  expect(overloaded).not.toContain("front-tbilisi-saburtalo-9");
});

test("only delegates send zone reports", async () => {
  isDelegate = false;
  beacon.send({ kind: "beat" });
  await until(() => sent.near.length === 1);
  expect(sent.far).toEqual([]);
});

test("VMs of other regions get a zone report with every second heartbeat", async () => {
  // If the two delegates of each of nine zones report to all 195 VMs every second, that is
  // most of the traffic between regions, which is expensive.
  farMember = { ...farMember, region: "south" as RegionId };
  for (let beat = 0; beat < 4; beat++) {
    beacon.send({ kind: "heartbeat" });
  }
  await until(() => sent.near.length === 4 && sent.far.length === 4);
  beacon.send({ kind: "beat" });
  await until(() => sent.far.length === 6);
});

describe("requests that may crash targets", () => {
  test("are reported to the zone and to other zones, within one datagram each", async () => {
    suspects = manySuspects();
    areOverloaded = true;
    beacon.send({ kind: "beat" });
    await until(() => sent.near.length === 1 && sent.far.length === 2);
    for (const { suspects: encoded = [] } of [...sent.near, ...sent.far]) {
      const reports = decodeSuspects(encoded);
      expect(reports.length).toBeGreaterThan(0);
      expect(suspects).toEqual(expect.arrayContaining([...reports]));
    }
  });

  test("are reported to a VM that has just started", async () => {
    // Guards against VMs that let such a request through because they started later.
    suspects = manySuspects();
    isDelegate = false;
    beacon.send({ kind: "greet", member: member("vm-2", PORTS.near) });
    await until(() => sent.near.length === 1);
    expect(sent.near[0]!.suspects!.length).toBeGreaterThan(0);
  });

  test("are reported in one heartbeat if there is much news at once", async () => {
    // Guards against a storm of heartbeats when a zone falls with many requests open.
    for (let crash = 0; crash < 50; crash++) {
      beacon.send({ kind: "suspects" });
    }
    await until(() => sent.near.length === 1 && sent.far.length === 2);
    beacon.send({ kind: "suspects" });
    await until(() => sent.near.length === 2);
  });

  test("are not reported if there are none", async () => {
    beacon.send({ kind: "beat" });
    await until(() => sent.near.length === 1 && sent.far.length === 2);
    expect(sent.near[0]!.suspects).toBeUndefined();
    expect(sent.far[0]!.suspects).toBeUndefined();
  });

  test("are left out if a report cannot be read", () => {
    const [encoded] = manySuspects().map(encodeSuspect);
    const unreadable = [[], ["a"], ["a", -1], ["a", null, {}], "a"] as never[];
    expect(decodeSuspects([...unreadable, encoded!]).length).toBe(1);
  });
});

describe("a warm target", () => {
  test("is published to the zone, and to other zones by one VM", async () => {
    beacon.send({ kind: "warmed", pair: pair(7) });
    beacon.send({ kind: "publish-warm-to-zone" });
    beacon.send({ kind: "publish-warm-to-region" });
    await until(() => warm.size === 2);
    expect(warm.get(PORTS.near)).toEqual([pair(7)]);
    expect(warm.get(PORTS.far)).toEqual([pair(7)]);
  });

  test("is published once, however often it is used in between", async () => {
    beacon.send({ kind: "warmed", pair: pair(7) });
    beacon.send({ kind: "warmed", pair: pair(7) });
    beacon.send({ kind: "publish-warm-to-zone" });
    beacon.send({ kind: "publish-warm-to-zone" });
    beacon.send({ kind: "beat" });
    await until(() => sent.near.length === 1);
    expect(warm.get(PORTS.near)).toEqual([pair(7)]);
  });

  test("is published less often in a large zone", async () => {
    // If eleven VMs each send updates to ten others four times a second, these 440
    // datagrams a second take more processor time than warm targets save.
    zonePeers = Array.from({ length: 10 }, () => member("vm-2", PORTS.near));
    beacon.send({ kind: "warmed", pair: pair(1) });
    beacon.send({ kind: "publish-warm-to-zone" });
    await until(() => warm.get(PORTS.near)?.length === 10);
    beacon.send({ kind: "warmed", pair: pair(2) });
    vi.advanceTimersByTime(500);
    beacon.send({ kind: "publish-warm-to-zone" });
    beacon.send({ kind: "beat" });
    await until(() => sent.near.length > 0);
    expect(warm.get(PORTS.near)).toHaveLength(10);
    vi.advanceTimersByTime(500);
    beacon.send({ kind: "publish-warm-to-zone" });
    await until(() => warm.get(PORTS.near)?.length === 20);
  });

  test("is forwarded from the zone to other zones, and no further", async () => {
    // Forwarded within the zone, or back from another one, updates would circulate for
    // ever and make up most of the VMs' traffic.
    sendWarm("warm", [pair(1)]);
    sendWarm("zone-warm", [pair(2)]);
    await until(() => receivedWarm.length === 2);
    beacon.send({ kind: "publish-warm-to-zone" });
    beacon.send({ kind: "publish-warm-to-region" });
    await until(() => warm.has(PORTS.far));
    expect(warm.get(PORTS.far)).toEqual([pair(1)]);
    expect(warm.has(PORTS.near)).toBe(false);
  });

  test("is sent to a VM that has just started, up to 800 pairs", async () => {
    beacon.send({ kind: "greet", member: member("vm-2", PORTS.near) });
    await until(() => warm.get(PORTS.near)?.length === 800);
    expect(warm.get(PORTS.near)).toContainEqual(pair(1_999));
  });

  test("is sent to a VM that has just started by delegates only", async () => {
    // If twenty VMs each send it 8 datagrams with the same pairs, a small VM is busy with
    // them while its callers return.
    isDelegate = false;
    beacon.send({ kind: "greet", member: member("vm-2", PORTS.near) });
    await until(() => sent.near.length === 1);
    expect(warm.size).toBe(0);
  });

  test("is ignored if it cannot be decoded", async () => {
    const bytes = Buffer.from(
      JSON.stringify({ method: "warm", params: { pairs: 7 } }),
    );
    near.send(bytes, PORTS.self, HOST);
    sendWarm("warm", [pair(3)]);
    await until(() => receivedWarm.length === 1);
    expect(receivedWarm).toEqual([pair(3)]);
  });
});

describe("a limit update", () => {
  const UPDATE: LimitUpdate = {
    target: "t-1" as TargetId,
    perSecond: 2.5,
    at: 0,
  };

  test("is sent three times to the zone, and by delegates to other zones", async () => {
    beacon.send({ kind: "limit", update: UPDATE });
    for (let time = 0; time < 5; time++) {
      beacon.send({ kind: "publish-limits" });
    }
    beacon.send({ kind: "beat" });
    await until(() => sent.near.length === 1 && sent.far.length === 2);
    expect(limits.get(PORTS.near)).toHaveLength(3);
    expect(limits.get(PORTS.far)).toHaveLength(3);
    expect(limits.get(PORTS.far)![0])
      .toMatchObject({ target: "t-1", perSecond: 2.5 });
  });

  test("is forwarded from the zone to other zones, and no further", async () => {
    sendLimit("limits", { target: "t-1", perSecond: null, ageMs: 40 });
    sendLimit("zone-limits", { target: "t-2", perSecond: 1, ageMs: 0 });
    await until(() => receivedLimits.length === 2);
    beacon.send({ kind: "publish-limits" });
    await until(() => limits.has(PORTS.far));
    expect(limits.get(PORTS.far)!.map(({ target }) => target)).toEqual(["t-1"]);
    expect(limits.has(PORTS.near)).toBe(false);
    expect(receivedLimits[0]!.perSecond).toBeUndefined();
    expect(receivedLimits[0]!.at).toBeLessThan(receivedLimits[1]!.at);
  });

  test("is ignored if it cannot be decoded", async () => {
    sendLimit("limits", { target: 7, perSecond: "many", ageMs: 0 });
    sendLimit("limits", { target: "t-1", perSecond: 1, ageMs: 0 });
    await until(() => receivedLimits.length === 1);
    expect(receivedLimits[0]!.target).toBe("t-1");
  });
});

/** Sends the beacon a limit update from a peer. */
function sendLimit(method: string, update: object): void {
  const message = { jsonrpc: "2.0", method, params: { limits: [update] } };
  near.send(Buffer.from(JSON.stringify(message)), PORTS.self, HOST);
}

/** Sends the beacon a warm-target update from a peer. */
function sendWarm(method: string, pairs: readonly HashedPair[]): void {
  for (const text of encodePairs(pairs)) {
    const message = { jsonrpc: "2.0", method, params: { pairs: text } };
    near.send(Buffer.from(JSON.stringify(message)), PORTS.self, HOST);
  }
}
