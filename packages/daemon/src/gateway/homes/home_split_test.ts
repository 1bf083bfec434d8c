/**
 * Messages are split by estimated sizes of what the codec writes; each part has to fit
 * into a datagram.
 *
 * @module
 */

import { expect, test } from "vitest";
import type { RegionId, ServiceId, VmId } from "@poplarthread/ids";
import { hashText, HomeCoordinator } from "@poplarthread/placement";
import { decodeHomeMessage, encodeHomeMessage } from "./home_codec.ts";

/** A long name, as each datagram has it. */
const SERVICE = "service-".repeat(8) as ServiceId;
const TICK_MS = 100;
const OBJECTS = Array.from({ length: 1_500 }, (_, at) => hashText(`o-${at}`));
const TARGETS = Array.from({ length: 600 }, (_, at) => hashText(`t-${at}`));
const VMS = ["north", "north", "south"].map((region, at) => ({
  vm: `vm-${at}` as VmId,
  region: region as RegionId,
  hash: hashText(`vm-${at}`),
}));

/** Sizes of the datagrams by kind of message; each is checked to arrive as sent. */
const sizes = new Map<string, number[]>();

function newAgent(self: typeof VMS[number]): HomeCoordinator {
  const agent = new HomeCoordinator({
    self,
    newTerm: () => "0123abcd",
    roomOf: () =>
      [0, 1, 2, 3, 4].map((priority) => ({
        priority,
        admitted: 0.123,
        returnMs: 2_345.6,
      })),
    onOutgoing: () => {},
    onHomes: () => {},
    onOwnership: () => {},
  });
  agent.setVms(VMS, 0);
  const targets = TARGETS.map((hash, at) => ({
    hash,
    region: at % 2 === 0 ? "north" as RegionId : "south" as RegionId,
    slots: 3,
    startedAt: 0,
  }));
  agent.setTargets(new Map([[SERVICE, targets]]), 0);
  return agent;
}

function ask({ source }: HomeCoordinator, now: number): void {
  OBJECTS.forEach((object, at) => {
    const workMs = 100_000 + at / 10;
    const request = { service: SERVICE, object, workMs };
    source.lookUp(request, now);
    source.requestAnother(request, now);
    source.recordDemand(request, at % 5);
  });
  TARGETS.forEach((target, at) =>
    source.recordResponse(SERVICE, {
      target,
      pace: 1 + at / 1_000,
    })
  );
}

function exchange(agents: ReadonlyMap<VmId, HomeCoordinator>, now: number) {
  for (const [from, agent] of agents) {
    for (const { to, message } of agent.takeOutgoing(now)) {
      const datagram = encodeHomeMessage(message);
      const { kind } = message;
      expect(datagram, `${kind} is too long`).toBeDefined();
      sizes.set(kind, [...sizes.get(kind) ?? [], datagram!.length]);
      agents.get(to)!.receive(decodeHomeMessage(datagram!)!, from, now);
    }
  }
}

test("each part of a message fits into a datagram, and uses most of it", () => {
  const agents = new Map(VMS.map((self) => [self.vm, newAgent(self)]));
  for (let now = 0; now < 8_000; now += TICK_MS) {
    if (now % 1_000 === 0) {
      agents.forEach((agent) => ask(agent, now));
    }
    agents.forEach((agent) => agent.tick(now));
    exchange(agents, now);
  }
  expect([...sizes.keys()].toSorted()).toEqual([
    "query",
    "report",
    "summary",
    "update",
  ]);
  sizes.forEach((ofKind) => expect(Math.max(...ofKind)).toBeGreaterThan(900));
});
