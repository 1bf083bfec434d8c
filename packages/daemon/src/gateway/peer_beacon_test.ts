/**
 * What VMs say to each other in datagrams.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { createSocket, type Socket } from "node:dgram";
import { afterEach, beforeEach, describe, expect, test, vi } from "vitest";
import type { RegionId, TargetId, VmId } from "@poplarthread/ids";
import type { HashedPair } from "@poplarthread/placement";
import { ownAddress } from "../loopback.ts";
import type { LimitWord } from "./limit_news.ts";
import { PeerBeacon } from "./peer_beacon.ts";
import type { Heartbeat, ZoneReport } from "./peer_words.ts";
import type { Member } from "./ports.ts";
import { memberNamed } from "./testing.ts";
import { decodePairs, encodePairs } from "./warm_news.ts";

const HOST = ownAddress(78);
const PORTS = { self: 17_720, near: 17_721, far: 17_722 };

let beacon: PeerBeacon;
let near: Socket;
let far: Socket;
let said: { near: Heartbeat[]; far: ZoneReport[] };
/** Pairs that peers were told of, by the port of the peer. */
let warm: Map<number, HashedPair[]>;
/** Words of limits that peers were told of, by the port of the peer. */
let limits: Map<number, { target: string; perSecond: number | null }[]>;
/** Pairs that the beacon itself was told of. */
let heard: HashedPair[];
/** Words of limits that the beacon itself was told of. */
let heardLimits: LimitWord[];
let isReporting: boolean;
let mates: readonly Member[];
let farMember: Member;

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
    const { params } = JSON.parse(bytes.toString());
    if ("limits" in params) {
      limits.set(port, [...limits.get(port) ?? [], ...params.limits]);
    } else if ("pairs" in params) {
      const before = warm.get(port) ?? [];
      warm.set(port, [...before, ...decodePairs(params.pairs)]);
    } else {
      note(params as never);
    }
  });
  await new Promise<void>((resolve) => socket.bind(port, HOST, resolve));
  return socket;
}

beforeEach(async () => {
  vi.useFakeTimers({ toFake: ["setInterval", "performance"] });
  said = { near: [], far: [] };
  warm = new Map();
  limits = new Map();
  heard = [];
  heardLimits = [];
  isReporting = true;
  mates = [member("vm-2", PORTS.near)];
  farMember = member("vm-3", PORTS.far);
  near = await peer(PORTS.near, (params) => said.near.push(params));
  far = await peer(PORTS.far, (params) => said.far.push(params));
  beacon = new PeerBeacon({
    listen: { host: HOST, port: PORTS.self },
    seeds: () => [],
    near: () => mates,
    far: () => isReporting ? [farMember] : [],
    reports: () => isReporting,
    spokenTo: () => isReporting ? [member("vm-3", PORTS.far)] : [],
    warmPairs: () => Array.from({ length: 2_000 }, (_, at) => pair(at)),
    heardWarm: (pairs) => heard.push(...pairs),
    heardLimits: (words) => heardLimits.push(...words),
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

/** Hashes use all 32 bits. */
function pair(target: number): HashedPair {
  return { object: 4_000_000_000, target };
}

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

test("VMs of other regions hear of the zone at each second heartbeat", async () => {
  // Two VMs of each of nine zones told all 195 VMs each second which VMs of theirs are
  // up. That was most of what went between regions, where bytes are dear.
  farMember = { ...farMember, region: "south" as RegionId };
  for (let beat = 0; beat < 4; beat++) {
    beacon.send({ kind: "heartbeat" });
  }
  await until(() => said.near.length === 4 && said.far.length === 4);
  beacon.send({ kind: "beat" });
  await until(() => said.far.length === 6);
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

describe("what is warm", () => {
  test("is told to the zone, and to other zones by one VM", async () => {
    beacon.send({ kind: "warmed", pair: pair(7) });
    beacon.send({ kind: "tell-near" });
    beacon.send({ kind: "tell-far" });
    await until(() => warm.size === 2);
    expect(warm.get(PORTS.near)).toEqual([pair(7)]);
    expect(warm.get(PORTS.far)).toEqual([pair(7)]);
  });

  test("is told once, however often it is used in between", async () => {
    beacon.send({ kind: "warmed", pair: pair(7) });
    beacon.send({ kind: "warmed", pair: pair(7) });
    beacon.send({ kind: "tell-near" });
    beacon.send({ kind: "tell-near" });
    beacon.send({ kind: "beat" });
    await until(() => said.near.length === 1);
    expect(warm.get(PORTS.near)).toEqual([pair(7)]);
  });

  test("is told less often in a large zone", async () => {
    // Eleven VMs that each tell ten others four times a second send 440 datagrams a
    // second, which take more of their processors than warm targets save.
    mates = Array.from({ length: 10 }, () => member("vm-2", PORTS.near));
    beacon.send({ kind: "warmed", pair: pair(1) });
    beacon.send({ kind: "tell-near" });
    await until(() => warm.get(PORTS.near)?.length === 10);
    beacon.send({ kind: "warmed", pair: pair(2) });
    vi.advanceTimersByTime(500);
    beacon.send({ kind: "tell-near" });
    beacon.send({ kind: "beat" });
    await until(() => said.near.length > 0);
    expect(warm.get(PORTS.near)).toHaveLength(10);
    vi.advanceTimersByTime(500);
    beacon.send({ kind: "tell-near" });
    await until(() => warm.get(PORTS.near)?.length === 20);
  });

  test("is passed on from the zone to other zones, and from there to nobody", async () => {
    // Passed on within the zone, or back from another one, it would go round for
    // ever, and the datagrams would be most of what VMs send.
    say("warm", [pair(1)]);
    say("zone-warm", [pair(2)]);
    await until(() => heard.length === 2);
    beacon.send({ kind: "tell-near" });
    beacon.send({ kind: "tell-far" });
    await until(() => warm.has(PORTS.far));
    expect(warm.get(PORTS.far)).toEqual([pair(1)]);
    expect(warm.has(PORTS.near)).toBe(false);
  });

  test("is told to a VM that has just started, as far as its link bears", async () => {
    beacon.send({ kind: "greet", member: member("vm-2", PORTS.near) });
    await until(() => warm.get(PORTS.near)?.length === 800);
    expect(warm.get(PORTS.near)).toContainEqual(pair(1_999));
  });

  test("is told to a VM that has just started by those that report alone", async () => {
    // Twenty VMs that greet it with 8 datagrams of the same pairs each keep a small VM
    // busy while its callers come back.
    isReporting = false;
    beacon.send({ kind: "greet", member: member("vm-2", PORTS.near) });
    await until(() => said.near.length === 1);
    expect(warm.size).toBe(0);
  });

  test("is passed over where it cannot be read", async () => {
    const bytes = Buffer.from(
      JSON.stringify({ method: "warm", params: { pairs: 7 } }),
    );
    near.send(bytes, PORTS.self, HOST);
    say("warm", [pair(3)]);
    await until(() => heard.length === 1);
    expect(heard).toEqual([pair(3)]);
  });
});

describe("what a target says of its limit", () => {
  const WORD: LimitWord = {
    target: "t-1" as TargetId,
    perSecond: 2.5,
    at: 0,
  };

  test("is told to the zone, and to other zones by VMs that report, some times", async () => {
    beacon.send({ kind: "limit", word: WORD });
    for (let telling = 0; telling < 5; telling++) {
      beacon.send({ kind: "tell-limits" });
    }
    beacon.send({ kind: "beat" });
    await until(() => said.near.length === 1 && said.far.length === 2);
    expect(limits.get(PORTS.near)).toHaveLength(3);
    expect(limits.get(PORTS.far)).toHaveLength(3);
    expect(limits.get(PORTS.far)![0])
      .toMatchObject({ target: "t-1", perSecond: 2.5 });
  });

  test("is passed on from the zone to other zones, and from there to nobody", async () => {
    sayLimit("limits", { target: "t-1", perSecond: null, ageMs: 40 });
    sayLimit("zone-limits", { target: "t-2", perSecond: 1, ageMs: 0 });
    await until(() => heardLimits.length === 2);
    beacon.send({ kind: "tell-limits" });
    await until(() => limits.has(PORTS.far));
    expect(limits.get(PORTS.far)!.map(({ target }) => target)).toEqual(["t-1"]);
    expect(limits.has(PORTS.near)).toBe(false);
    expect(heardLimits[0]!.perSecond).toBeUndefined();
    expect(heardLimits[0]!.at).toBeLessThan(heardLimits[1]!.at);
  });

  test("is passed over where it cannot be read", async () => {
    sayLimit("limits", { target: 7, perSecond: "many", ageMs: 0 });
    sayLimit("limits", { target: "t-1", perSecond: 1, ageMs: 0 });
    await until(() => heardLimits.length === 1);
    expect(heardLimits[0]!.target).toBe("t-1");
  });
});

/** A peer tells the beacon of a limit. */
function sayLimit(method: string, word: object): void {
  const message = { jsonrpc: "2.0", method, params: { limits: [word] } };
  near.send(Buffer.from(JSON.stringify(message)), PORTS.self, HOST);
}

/** A peer tells the beacon of warm targets. */
function say(method: string, pairs: readonly HashedPair[]): void {
  for (const text of encodePairs(pairs)) {
    const message = { jsonrpc: "2.0", method, params: { pairs: text } };
    near.send(Buffer.from(JSON.stringify(message)), PORTS.self, HOST);
  }
}
