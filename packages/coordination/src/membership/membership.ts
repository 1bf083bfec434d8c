/**
 * The membership core of one VM.
 *
 * @module
 */

import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { VmId } from "@poplarthread/ids";
import { FactStore } from "./facts.ts";
import type {
  Fact,
  Heartbeat,
  ListedMember,
  Member,
  MemberLocation,
  MembershipEffect,
  MembershipMessage,
  Sender,
  Update,
} from "./messages.ts";
import { type UpdateKey, UpdateQueue } from "./update_queue.ts";
import { MemberStates } from "./member_states.ts";
import { Partners } from "./partners.ts";
import { Probes, SUSPECT_PERIODS } from "./probes.ts";
import { bucketOf } from "./view.ts";

/** Heartbeat interval of a member. At 170 bytes each way, traffic stays near 400 bytes a second. */
export const PERIOD_MS = 1_000;

/** A longer gap between ticks means that this process was paused, not that the others did not respond. */
const PAUSE_THRESHOLD_MS = 2 * PERIOD_MS;

/** Number of members asked to ping one that does not respond. */
const INDIRECT_PROBES = 3;

/** Every this many periods, one member that is dead but listed is pinged, so that the end of a network partition is detected. */
const PROBE_DEAD_PERIODS = 5;

/** Minimum interval between comparisons of views. Most differences end by themselves when queued updates arrive. */
const MIN_COMPARE_INTERVAL_MS = 5_000;

/** If more than this share of the partners does not respond, the fault is more likely local. */
const SELF_FAULT_SHARE = 2 / 3;

/** Options of {@link Membership}. */
export interface MembershipOptions {
  readonly self: Sender & MemberLocation;
  readonly random: RandomGenerator;
  /** Start time on the clock of `now`; 0 by default, for a clock that starts with the process. */
  readonly now?: number;
}

/**
 * Tracks the VMs of the system. Call {@link tick} about every 100 ms; each method
 * returns the messages to send and the changes.
 */
export class Membership {
  readonly #from: Sender;
  readonly #updates = new UpdateQueue();
  readonly #states: MemberStates;
  readonly #facts = new FactStore();
  readonly #partners: Partners;
  readonly #probes = new Probes();
  /** Pings sent on behalf of others: by local sequence number, the requester and its own number. */
  readonly #indirectPings = new Map<number, { to: VmId; sequence: number }>();
  /** Members that have acknowledged a ping and so have this one's entry. */
  readonly #introducedTo = new Set<string>();
  #revision = 0;
  #periods = 0;
  #periodStartedAt = -Infinity;
  #tickedAt: number;
  #comparedAt = -Infinity;

  constructor({ self, random, now = 0 }: MembershipOptions) {
    const { vm, instance } = self;
    this.#from = { vm, instance };
    this.#tickedAt = now;
    this.#partners = new Partners(random);
    this.#states = new MemberStates(
      { ...self, incarnation: 0, state: "joined" },
      { updates: this.#updates, startedAt: now },
    );
  }

  /** All known members, including this one. */
  members(): readonly Member[] {
    return [...this.#states.view.entries()].map(({ member }) => member);
  }

  /** The member on a VM, if known. */
  member(vm: VmId): Member | undefined {
    return this.#states.view.get(vm)?.member;
  }

  /** Unexpired facts, each with its remaining lifetime. */
  facts(now: number): readonly Fact[] {
    return this.#facts.all(now);
  }

  /** Merges the platform's VM list, which may or may not include this VM. */
  mergeVmList(
    list: readonly ListedMember[],
    now: number,
  ): readonly MembershipEffect[] {
    return this.#states.mergeVmList(list, now);
  }

  /** Publishes a fact to all members. */
  publish(fact: Fact, now: number): readonly MembershipEffect[] {
    return this.#mergeFact(fact, now);
  }

  /** Sets the configuration revision that heartbeats carry. */
  setRevision(revision: number): void {
    this.#revision = Math.max(this.#revision, revision);
  }

  /** Notifies all members that this VM is leaving. */
  leave(now: number): readonly MembershipEffect[] {
    return this.#states.self().state === "leaving"
      ? []
      : [...this.#states.setSelfState("leaving", now), ...this.#push(now)];
  }

  /** Handles a message from a peer. */
  receive(
    message: MembershipMessage,
    now: number,
  ): readonly MembershipEffect[] {
    if (message.from.vm === this.#from.vm) {
      return [];
    }
    switch (message.kind) {
      case "ping":
        return [
          ...this.#handleHeartbeat(message, now),
          ...this.#handlePing(message, now),
        ];
      case "ack":
        return [
          ...this.#handleHeartbeat(message, now),
          ...this.#handleAck(message, now),
        ];
      case "ping-request":
        return [
          ...this.#handleHeartbeat(message, now),
          ...this.#pingOnBehalf(message, now),
        ];
      case "news":
        return this.#mergeAll(message.news, { propagate: true, now });
      case "compare":
        return this.#handleCompare(message, now);
      case "entries":
        return this.#handleEntries(message, now);
      default:
        return message satisfies never;
    }
  }

  /** Advances time. */
  tick(now: number): readonly MembershipEffect[] {
    const wasPaused = now - this.#tickedAt > PAUSE_THRESHOLD_MS;
    this.#tickedAt = now;
    if (wasPaused) {
      this.#probes.reset();
    }
    const effects: MembershipEffect[] = this.#facts.expire(now)
      .map((key) => ({ kind: "fact-expired", key }));
    if (now >= this.#periodStartedAt + PERIOD_MS) {
      this.#periodStartedAt = now;
      effects.push(...this.#startPeriod(now));
    }
    for (const { vm, sequence } of this.#probes.overdue(now)) {
      effects.push(...this.#probeIndirectly(vm, { sequence, now }));
    }
    return [...effects, ...this.#push(now)];
  }

  #startPeriod(now: number): readonly MembershipEffect[] {
    this.#periods += 1;
    this.#probes.endPeriod();
    this.#indirectPings.clear();
    const effects = [
      ...this.#updateUnresponsive(now),
      ...this.#states.removeDead(now),
    ];
    this.#partners.refresh(this.#candidates(), now);
    const due = new Set(this.#probes.missed().keys());
    const next = this.#partners.next();
    if (next !== undefined) {
      due.add(next);
    }
    const dead = this.#periods % PROBE_DEAD_PERIODS === 0
      ? this.#nextDeadListed()
      : undefined;
    if (dead !== undefined) {
      due.add(dead);
    }
    for (const vm of due) {
      effects.push(...this.#ping(vm, this.#probes.start(vm, now), now));
    }
    return effects;
  }

  #updateUnresponsive(now: number): readonly MembershipEffect[] {
    const missed = [...this.#probes.missed()];
    const partners = this.#partners.list();
    const unresponsive = partners.filter((vm) => this.#probes.missed().has(vm));
    const suspectsSelf =
      unresponsive.length > partners.length * SELF_FAULT_SHARE &&
      partners.length > 1;
    return missed.flatMap(([vm, periods]) => {
      if (this.member(vm) === undefined || this.member(vm)!.state === "dead") {
        this.#probes.clearMissed(vm);
        return [];
      }
      const isDead = periods > SUSPECT_PERIODS && !suspectsSelf;
      return this.#states.setState(vm, isDead ? "dead" : "suspect", now);
    });
  }

  #candidates(): ReadonlySet<VmId> {
    const vms = this.members()
      .filter(({ vm, state }) => vm !== this.#from.vm && state !== "dead")
      .map(({ vm }) => vm);
    return new Set(vms);
  }

  /** A listed member that is considered dead, a different one each time. */
  #nextDeadListed(): VmId | undefined {
    const dead = [...this.#states.view.entries()]
      .filter(({ member, listed }) => listed && member.state === "dead");
    return dead[(this.#periods / PROBE_DEAD_PERIODS) % dead.length]?.member.vm;
  }

  #ping(vm: VmId, sequence: number, now: number): readonly MembershipEffect[] {
    const to = this.member(vm);
    if (to === undefined) {
      return [];
    }
    const keys: UpdateKey[] = [`member ${vm}`];
    if (!this.#introducedTo.has(vm)) {
      keys.push(`member ${this.#from.vm}`);
    }
    // Only a member that is not in state `joined` needs its own entry, to refute it.
    const priority = to.state === "joined" ? keys.slice(1) : keys;
    const heartbeat = this.#heartbeat(priority, now);
    return [
      this.#send(to, { kind: "ping", sequence, ...heartbeat }),
    ];
  }

  #probeIndirectly(
    subject: VmId,
    { sequence, now }: { sequence: number; now: number },
  ): readonly MembershipEffect[] {
    const address = this.member(subject)?.address;
    if (address === undefined) {
      return [];
    }
    return this.#partners.pick(INDIRECT_PROBES, subject).map((vm) =>
      this.#send(this.member(vm)!, {
        kind: "ping-request",
        sequence,
        subject,
        address,
        ...this.#heartbeat([], now),
      })
    );
  }

  #pingOnBehalf(
    message: MembershipMessage & { kind: "ping-request" },
    now: number,
  ): readonly MembershipEffect[] {
    if (this.member(message.subject) === undefined) {
      return [];
    }
    const { subject } = message;
    const sequence = this.#probes.start(subject, now, { onBehalf: true });
    const { vm } = message.from;
    this.#indirectPings.set(sequence, { to: vm, sequence: message.sequence });
    return this.#ping(message.subject, sequence, now);
  }

  #handlePing(
    message: MembershipMessage & { kind: "ping" },
    now: number,
  ): readonly MembershipEffect[] {
    const sender = this.member(message.from.vm);
    if (sender === undefined) {
      return [];
    }
    const { sequence } = message;
    // A sender that is considered suspect, dead or a different instance gets its own entry first.
    const needsRefuting = sender.instance !== message.from.instance ||
      sender.state !== "joined";
    const priority: UpdateKey[] = needsRefuting ? [`member ${sender.vm}`] : [];
    const heartbeat = this.#heartbeat(priority, now);
    return [this.#send(sender, { kind: "ack", sequence, ...heartbeat })];
  }

  #handleAck(
    message: MembershipMessage & { kind: "ack" },
    now: number,
  ): readonly MembershipEffect[] {
    const vm = this.#probes.acknowledge(message.sequence);
    const indirectPing = this.#indirectPings.get(message.sequence);
    this.#indirectPings.delete(message.sequence);
    this.#introducedTo.add(message.from.vm);
    const effects: MembershipEffect[] = [];
    if (vm !== undefined) {
      this.#probes.clearMissed(vm);
      effects.push(...this.#states.clearSuspicion(vm, now));
    }
    const requester = indirectPing && this.member(indirectPing.to);
    if (indirectPing !== undefined && requester !== undefined) {
      const { sequence } = indirectPing;
      const heartbeat = this.#heartbeat([`member ${message.from.vm}`], now);
      effects.push(this.#send(requester, {
        kind: "ack",
        sequence,
        subject: message.from.vm,
        ...heartbeat,
      }));
    }
    return effects;
  }

  #handleHeartbeat(
    { from, revision, digest, news }: Heartbeat,
    now: number,
  ): readonly MembershipEffect[] {
    const effects = [...this.#mergeAll(news, { propagate: true, now })];
    const sender = this.member(from.vm);
    if (sender === undefined) {
      return effects;
    }
    if (sender.instance === from.instance) {
      this.#probes.clearMissed(from.vm);
      effects.push(...this.#states.clearSuspicion(from.vm, now));
    }
    if (revision > this.#revision) {
      const { vm, address } = sender;
      effects.push({ kind: "ahead", vm, address, revision });
    }
    const { view } = this.#states;
    if (
      digest !== view.digest() &&
      now >= this.#comparedAt + MIN_COMPARE_INTERVAL_MS
    ) {
      this.#comparedAt = now;
      effects.push(this.#send(sender, {
        kind: "compare",
        from: this.#from,
        buckets: view.buckets(),
      }));
    }
    return effects;
  }

  #handleCompare(
    { from, buckets }: MembershipMessage & { kind: "compare" },
    now: number,
  ): readonly MembershipEffect[] {
    const local = this.#states.view.buckets();
    const differing = local.flatMap((sum, at) => sum === buckets[at] ? [] : at);
    return this.#sendEntries(from.vm, { differing, reply: true, now });
  }

  #handleEntries(
    message: MembershipMessage & { kind: "entries" },
    now: number,
  ): readonly MembershipEffect[] {
    const effects = this.#mergeAll(message.news, { propagate: false, now });
    const { from, reply, buckets: differing } = message;
    return reply
      ? [
        ...effects,
        ...this.#sendEntries(from.vm, { differing, reply: false, now }),
      ]
      : effects;
  }

  #sendEntries(
    vm: VmId,
    { differing, reply, now }: {
      differing: readonly number[];
      reply: boolean;
      now: number;
    },
  ): readonly MembershipEffect[] {
    const to = this.member(vm);
    if (to === undefined) {
      return [];
    }
    const buckets = new Set(differing);
    const members = this.members()
      .filter((member) => buckets.has(bucketOf(member.vm)))
      .map((member): Update => ({ kind: "member", member }));
    const facts = this.#facts.all(now)
      .map((fact): Update => ({ kind: "fact", fact }));
    return [
      this.#send(to, {
        kind: "entries",
        from: this.#from,
        buckets: differing,
        news: [...members, ...facts],
        reply,
      }),
    ];
  }

  /**
   * Merges updates. Those from a comparison of views are not propagated:
   * otherwise a member that has just started would forward the entire view to
   * everyone for hours.
   */
  #mergeAll(
    news: readonly Update[],
    { propagate, now }: { propagate: boolean; now: number },
  ): readonly MembershipEffect[] {
    return news.flatMap((item) => {
      switch (item.kind) {
        case "member":
          return this.#states.merge(item.member, { propagate, now });
        case "fact":
          return this.#mergeFact(item.fact, now);
        default:
          return item satisfies never;
      }
    });
  }

  #mergeFact(fact: Fact, now: number): readonly MembershipEffect[] {
    if (!this.#facts.add(fact, now)) {
      return [];
    }
    this.#updates.add(`fact ${fact.key}`, { urgent: fact.urgent });
    return [{ kind: "fact", fact }];
  }

  #heartbeat(priority: readonly UpdateKey[], now: number): Heartbeat {
    const queued = this.#updates.takeForHeartbeat(this.#states.view.size);
    return {
      from: this.#from,
      revision: this.#revision,
      digest: this.#states.view.digest(),
      news: this.#updatesOf(new Set([...priority, ...queued]), now),
    };
  }

  /** Sends urgent updates to all partners immediately; they reach every member in a few hops. */
  #push(now: number): readonly MembershipEffect[] {
    const keys = this.#updates.takeUrgent();
    const news = this.#updatesOf(new Set(keys), now);
    if (news.length === 0) {
      return [];
    }
    return this.#partners.list().map((vm) =>
      this.#send(this.member(vm)!, { kind: "news", from: this.#from, news })
    );
  }

  #updatesOf(keys: ReadonlySet<UpdateKey>, now: number): readonly Update[] {
    return [...keys].flatMap((key): Update[] => {
      if (key.startsWith("fact ")) {
        const fact = this.#facts.get(key.slice("fact ".length), now);
        return fact === undefined ? [] : [{ kind: "fact", fact }];
      }
      const member = this.member(key.slice("member ".length) as VmId);
      return member === undefined ? [] : [{ kind: "member", member }];
    });
  }

  #send(to: Member, message: MembershipMessage): MembershipEffect {
    return { kind: "send", to: to.vm, address: to.address, message };
  }
}
