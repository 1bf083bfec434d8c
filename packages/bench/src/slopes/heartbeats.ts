/**
 * Cost of heartbeats and time to notice, against members: cores on a virtual
 * clock.
 *
 * @module
 */

import process from "node:process";
import { Buffer } from "node:buffer";
import type { MembershipMessage } from "@poplarthread/coordination";
import { medianMs } from "./blocks.ts";
import { type Fit, fitLine, rounded } from "./fit.ts";
import { memberAt, MembershipFleet } from "./fleet.ts";

const SETTLE_MS = 40_000;
const WINDOW_MS = 30_000;
const NOTICE_MS = 60_000;

interface HeartbeatFigures {
  readonly members: number;
  /** Sent by one member, all kinds of messages, nothing happening. */
  readonly messagesPerSecond: number;
  readonly bytesPerSecond: number;
  /** Share of one core that a member's core takes, in thousandths; the virtual network's own cost is in it. */
  readonly cpuPerMille: number;
  readonly leaveKnownMedianMs: number;
  readonly leaveKnownToAllMs: number;
  /** Sent by one member because one other leaves. */
  readonly bytesPerLeave: number;
  readonly factKnownToAllMs: number;
  readonly killKnownMedianMs: number;
  readonly killKnownToAllMs: number;
  /** Members that did not learn of the leave within a minute. */
  readonly unreached: number;
}

/** All sizes and the lines through them. */
export interface HeartbeatReport {
  readonly how: string;
  readonly sizes: readonly HeartbeatFigures[];
  /** Encoding and decoding one heartbeat as JSON, in microseconds. */
  readonly codecUs: number;
  readonly perMember: Readonly<Record<string, Fit>>;
}

/** Measures fleets of several sizes. */
export function measureHeartbeats(quick: boolean): HeartbeatReport {
  const sizes = quick ? [3, 6, 12] : [3, 6, 12, 24, 48, 100, 300, 1_000, 3_000];
  const figures = sizes.map(measureFleet);
  const fitted: readonly (keyof HeartbeatFigures)[] = [
    "messagesPerSecond",
    "bytesPerSecond",
    "cpuPerMille",
    "leaveKnownToAllMs",
    "bytesPerLeave",
  ];
  const perMember = Object.fromEntries(fitted.map((name) => [
    name,
    fitLine(figures.map((at) => ({ x: at.members, y: at[name] }))),
  ]));
  return {
    how:
      "production cores on a virtual clock, JSON bytes of messages without the RPC envelope",
    sizes: figures,
    codecUs: codecUs(),
    perMember,
  };
}

function measureFleet(members: number): HeartbeatFigures {
  const fleet = new MembershipFleet(members, { knowsItself: true });
  fleet.net.run(SETTLE_MS);
  const idle = count(fleet, () => fleet.net.run(WINDOW_MS));
  const before = process.cpuUsage();
  fleet.net.run(WINDOW_MS);
  const { user, system } = process.cpuUsage(before);
  const perMemberSecond = members * WINDOW_MS / 1_000;

  let leave: readonly number[] = [];
  const leaving = memberAt(1).vm;
  const afterLeave = count(fleet, () => {
    const start = fleet.net.now;
    leave = fleet.timesUntil(leaving, ["leaving"], {
      withinMs: NOTICE_MS,
      act: () =>
        fleet.net.apply(
          leaving,
          fleet.cores.get(leaving)!.leave(fleet.net.now),
        ),
    });
    fleet.net.run(WINDOW_MS - (fleet.net.now - start));
  });
  const fact = factTime(fleet);
  const killed = memberAt(2).vm;
  const kill = fleet.timesUntil(killed, ["dead"], {
    withinMs: NOTICE_MS,
    act: () => fleet.net.kill(killed),
  });
  return {
    members,
    messagesPerSecond: rounded(idle.messages / perMemberSecond),
    bytesPerSecond: rounded(idle.bytes / perMemberSecond),
    cpuPerMille: rounded((user + system) / 1_000 / perMemberSecond),
    leaveKnownMedianMs: leave[Math.floor(leave.length / 2)] ?? -1,
    leaveKnownToAllMs: leave.at(-1) ?? -1,
    bytesPerLeave: rounded((afterLeave.bytes - idle.bytes) / members),
    factKnownToAllMs: fact,
    killKnownMedianMs: kill[Math.floor(kill.length / 2)] ?? -1,
    killKnownToAllMs: kill.at(-1) ?? -1,
    unreached: members - 1 - leave.length,
  };
}

/** Time until all know of a target's sign of leaving, or -1. */
function factTime(fleet: MembershipFleet): number {
  const start = fleet.net.now;
  const known = new Set<string>();
  fleet.onEffect = (at, effect) => {
    if (effect.kind === "fact") {
      known.add(at);
    }
  };
  const origin = memberAt(0).vm;
  const fact = {
    key: "leaving/target/portal-zilina-0001",
    version: 1,
    value: null,
    lifetimeMs: 60_000,
    urgent: true,
  };
  const { now } = fleet.net;
  fleet.net.apply(origin, fleet.cores.get(origin)!.publish(fact, now));
  fleet.net.run(NOTICE_MS, () => known.size >= fleet.size);
  fleet.onEffect = () => undefined;
  return known.size >= fleet.size ? fleet.net.now - start : -1;
}

function count(
  fleet: MembershipFleet,
  body: () => void,
): { messages: number; bytes: number } {
  let messages = 0;
  let bytes = 0;
  fleet.onSend = (message) => {
    messages += 1;
    bytes += Buffer.byteLength(JSON.stringify(message));
  };
  body();
  fleet.onSend = () => undefined;
  return { messages, bytes };
}

function codecUs(): number {
  const member = memberAt(1);
  const message: MembershipMessage = {
    kind: "ping",
    sequence: 12_345,
    from: { vm: member.vm, instance: member.instance },
    revision: 12_345,
    digest: -1_234_567_890,
    news: [{ kind: "member", member }],
  };
  const rounds = 20_000;
  const ms = medianMs(() => {
    for (let n = 0; n < rounds; n++) {
      JSON.parse(JSON.stringify(message));
    }
  });
  return rounded(ms * 1_000 / rounds);
}
