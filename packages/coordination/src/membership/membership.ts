/**
 * The membership core of one VM.
 *
 * @module
 */

import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { VmId } from "@poplarthread/ids";
import { Facts } from "./facts.ts";
import type {
  Fact,
  Heartbeat,
  ListedMember,
  Member,
  MemberPlace,
  MembershipEffect,
  MembershipMessage,
  News,
  Sender,
} from "./messages.ts";
import { type NewsKey, NewsQueue } from "./news_queue.ts";
import { Opinions } from "./opinions.ts";
import { Partners } from "./partners.ts";
import { Probes, SUSPECT_PERIODS } from "./probes.ts";
import { bucketOf } from "./view.ts";

/** Time between two heartbeats of a member. With 170 bytes each way it stays near 400 bytes a second. */
export const PERIOD_MS = 1_000;

/** A gap between ticks beyond this means that this member was paused, not that the others were silent. */
const PAUSE_MS = 2 * PERIOD_MS;

/** Members that are asked to ping one that does not answer. */
const INDIRECT_PROBES = 3;

/** Every so many periods one member that is held dead but listed is pinged, so that a healed cut is noticed. */
const PROBE_DEAD_PERIODS = 5;

/** Views are compared at most this often: a difference that news is about to end costs nothing. */
const COMPARE_MS = 5_000;

/** Where more than this share of the partners is silent, the fault is more likely on this side. */
const SELF_DOUBT_SHARE = 2 / 3;

/** Who this member is. */
export interface MembershipOptions {
  readonly self: Sender & MemberPlace;
  readonly random: RandomGenerator;
  /** Time of the start, on the clock that `now` is read from; by default 0, as of a process's own clock. */
  readonly now?: number;
}

/**
 * Knows the other VMs of the system. Call {@link tick} every 100 ms or so; each
 * method returns what to send and what changed.
 */
export class Membership {
  readonly #from: Sender;
  readonly #news = new NewsQueue();
  readonly #opinions: Opinions;
  readonly #facts = new Facts();
  readonly #partners: Partners;
  readonly #probes = new Probes();
  /** Pings made on behalf of others: own sequence to whom it is for. */
  readonly #errands = new Map<number, { to: VmId; sequence: number }>();
  /** Members that know this one's entry, by an answered ping. */
  readonly #introduced = new Set<string>();
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
    this.#opinions = new Opinions(
      { ...self, incarnation: 0, state: "joined" },
      { news: this.#news, startedAt: now },
    );
  }

  /** Every member that is known, this one included. */
  members(): readonly Member[] {
    return [...this.#opinions.view.entries()].map(({ member }) => member);
  }

  /** What is known of a VM. */
  member(vm: VmId): Member | undefined {
    return this.#opinions.view.get(vm)?.member;
  }

  /** Facts that are still alive, each with the lifetime it has left. */
  facts(now: number): readonly Fact[] {
    return this.#facts.all(now);
  }

  /** Takes in the platform's VM list: its entry VMs, this one included or not. */
  listed(
    list: readonly ListedMember[],
    now: number,
  ): readonly MembershipEffect[] {
    return this.#opinions.listed(list, now);
  }

  /** Makes a fact known to all members. */
  publish(fact: Fact, now: number): readonly MembershipEffect[] {
    return this.#learnFact(fact, now);
  }

  /** Sets the revision of the configuration that heartbeats name. */
  setRevision(revision: number): void {
    this.#revision = Math.max(this.#revision, revision);
  }

  /** Tells all members that this VM leaves. */
  leave(now: number): readonly MembershipEffect[] {
    return this.#opinions.self().state === "leaving"
      ? []
      : [...this.#opinions.declare("leaving", now), ...this.#push(now)];
  }

  /** Takes in a message of a peer. */
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
          ...this.#takeHeartbeat(message, now),
          ...this.#answerPing(message, now),
        ];
      case "ack":
        return [
          ...this.#takeHeartbeat(message, now),
          ...this.#takeAck(message, now),
        ];
      case "ping-request":
        return [
          ...this.#takeHeartbeat(message, now),
          ...this.#runErrand(message, now),
        ];
      case "news":
        return this.#learnAll(message.news, { tell: true, now });
      case "compare":
        return this.#answerCompare(message, now);
      case "entries":
        return this.#takeEntries(message, now);
      default:
        return message satisfies never;
    }
  }

  /** Lets time pass. */
  tick(now: number): readonly MembershipEffect[] {
    const wasPaused = now - this.#tickedAt > PAUSE_MS;
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
    this.#errands.clear();
    const effects = [
      ...this.#judgeSilent(now),
      ...this.#opinions.forget(now),
    ];
    this.#partners.refresh(this.#candidates(), now);
    const due = new Set(this.#probes.missed().keys());
    const next = this.#partners.next();
    if (next !== undefined) {
      due.add(next);
    }
    const lost = this.#periods % PROBE_DEAD_PERIODS === 0
      ? this.#someLost()
      : undefined;
    if (lost !== undefined) {
      due.add(lost);
    }
    for (const vm of due) {
      effects.push(...this.#ping(vm, this.#probes.start(vm, now), now));
    }
    return effects;
  }

  #judgeSilent(now: number): readonly MembershipEffect[] {
    const missed = [...this.#probes.missed()];
    const partners = this.#partners.list();
    const silent = partners.filter((vm) => this.#probes.missed().has(vm));
    const doubtsItself = silent.length > partners.length * SELF_DOUBT_SHARE &&
      partners.length > 1;
    return missed.flatMap(([vm, periods]) => {
      if (this.member(vm) === undefined || this.member(vm)!.state === "dead") {
        this.#probes.heard(vm);
        return [];
      }
      const isDead = periods > SUSPECT_PERIODS && !doubtsItself;
      return this.#opinions.judge(vm, isDead ? "dead" : "suspect", now);
    });
  }

  #candidates(): ReadonlySet<VmId> {
    const vms = this.members()
      .filter(({ vm, state }) => vm !== this.#from.vm && state !== "dead")
      .map(({ vm }) => vm);
    return new Set(vms);
  }

  /** A listed member that is held dead, a different one each time. */
  #someLost(): VmId | undefined {
    const lost = [...this.#opinions.view.entries()]
      .filter(({ member, listed }) => listed && member.state === "dead");
    return lost[(this.#periods / PROBE_DEAD_PERIODS) % lost.length]?.member.vm;
  }

  #ping(vm: VmId, sequence: number, now: number): readonly MembershipEffect[] {
    const to = this.member(vm);
    if (to === undefined) {
      return [];
    }
    const first: NewsKey[] = [`member ${vm}`];
    if (!this.#introduced.has(vm)) {
      first.push(`member ${this.#from.vm}`);
    }
    // Only a member that is in doubt needs to hear about itself, to contradict it.
    const aboutIt = to.state === "joined" ? first.slice(1) : first;
    const heartbeat = this.#heartbeat(aboutIt, now);
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

  #runErrand(
    message: MembershipMessage & { kind: "ping-request" },
    now: number,
  ): readonly MembershipEffect[] {
    if (this.member(message.subject) === undefined) {
      return [];
    }
    const { subject } = message;
    const sequence = this.#probes.start(subject, now, { onBehalf: true });
    const { vm } = message.from;
    this.#errands.set(sequence, { to: vm, sequence: message.sequence });
    return this.#ping(message.subject, sequence, now);
  }

  #answerPing(
    message: MembershipMessage & { kind: "ping" },
    now: number,
  ): readonly MembershipEffect[] {
    const sender = this.member(message.from.vm);
    if (sender === undefined) {
      return [];
    }
    const { sequence } = message;
    // A sender that is held suspect, dead or another instance hears so first.
    const isDoubted = sender.instance !== message.from.instance ||
      sender.state !== "joined";
    const first: NewsKey[] = isDoubted ? [`member ${sender.vm}`] : [];
    const heartbeat = this.#heartbeat(first, now);
    return [this.#send(sender, { kind: "ack", sequence, ...heartbeat })];
  }

  #takeAck(
    message: MembershipMessage & { kind: "ack" },
    now: number,
  ): readonly MembershipEffect[] {
    const vm = this.#probes.answered(message.sequence);
    const errand = this.#errands.get(message.sequence);
    this.#errands.delete(message.sequence);
    this.#introduced.add(message.from.vm);
    const effects: MembershipEffect[] = [];
    if (vm !== undefined) {
      this.#probes.heard(vm);
      effects.push(...this.#opinions.clear(vm, now));
    }
    const asker = errand && this.member(errand.to);
    if (errand !== undefined && asker !== undefined) {
      const { sequence } = errand;
      const heartbeat = this.#heartbeat([`member ${message.from.vm}`], now);
      effects.push(this.#send(asker, {
        kind: "ack",
        sequence,
        subject: message.from.vm,
        ...heartbeat,
      }));
    }
    return effects;
  }

  #takeHeartbeat(
    { from, revision, digest, news }: Heartbeat,
    now: number,
  ): readonly MembershipEffect[] {
    const effects = [...this.#learnAll(news, { tell: true, now })];
    const sender = this.member(from.vm);
    if (sender === undefined) {
      return effects;
    }
    if (sender.instance === from.instance) {
      this.#probes.heard(from.vm);
      effects.push(...this.#opinions.clear(from.vm, now));
    }
    if (revision > this.#revision) {
      const { vm, address } = sender;
      effects.push({ kind: "ahead", vm, address, revision });
    }
    const { view } = this.#opinions;
    if (digest !== view.digest() && now >= this.#comparedAt + COMPARE_MS) {
      this.#comparedAt = now;
      effects.push(this.#send(sender, {
        kind: "compare",
        from: this.#from,
        buckets: view.buckets(),
      }));
    }
    return effects;
  }

  #answerCompare(
    { from, buckets }: MembershipMessage & { kind: "compare" },
    now: number,
  ): readonly MembershipEffect[] {
    const mine = this.#opinions.view.buckets();
    const differing = mine.flatMap((sum, at) => sum === buckets[at] ? [] : at);
    return this.#sendEntries(from.vm, { differing, reply: true, now });
  }

  #takeEntries(
    message: MembershipMessage & { kind: "entries" },
    now: number,
  ): readonly MembershipEffect[] {
    const effects = this.#learnAll(message.news, { tell: false, now });
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
      .map((member): News => ({ kind: "member", member }));
    const facts = this.#facts.all(now)
      .map((fact): News => ({ kind: "fact", fact }));
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
   * Takes news in. What a comparison of views brought is not told on: whoever
   * has just started would go on telling everyone all that they know for hours.
   */
  #learnAll(
    news: readonly News[],
    { tell, now }: { tell: boolean; now: number },
  ): readonly MembershipEffect[] {
    return news.flatMap((item) => {
      switch (item.kind) {
        case "member":
          return this.#opinions.learn(item.member, { tell, now });
        case "fact":
          return this.#learnFact(item.fact, now);
        default:
          return item satisfies never;
      }
    });
  }

  #learnFact(fact: Fact, now: number): readonly MembershipEffect[] {
    if (!this.#facts.learn(fact, now)) {
      return [];
    }
    this.#news.add(`fact ${fact.key}`, { urgent: fact.urgent });
    return [{ kind: "fact", fact }];
  }

  #heartbeat(first: readonly NewsKey[], now: number): Heartbeat {
    const riding = this.#news.takeForHeartbeat(this.#opinions.view.size);
    return {
      from: this.#from,
      revision: this.#revision,
      digest: this.#opinions.view.digest(),
      news: this.#newsOf(new Set([...first, ...riding]), now),
    };
  }

  /** Sends urgent news to all partners at once: in a few hops it has reached everyone. */
  #push(now: number): readonly MembershipEffect[] {
    const keys = this.#news.takeUrgent();
    const news = this.#newsOf(new Set(keys), now);
    if (news.length === 0) {
      return [];
    }
    return this.#partners.list().map((vm) =>
      this.#send(this.member(vm)!, { kind: "news", from: this.#from, news })
    );
  }

  #newsOf(keys: ReadonlySet<NewsKey>, now: number): readonly News[] {
    return [...keys].flatMap((key): News[] => {
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
