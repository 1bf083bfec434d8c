/**
 * The dissemination core of one VM, for one document.
 *
 * @module
 */

import type { VmId, ZoneId } from "@poplarthread/ids";
import type { Sender } from "../membership/messages.ts";
import { ChangeLog } from "./change_log.ts";
import type {
  DisseminatedChange,
  DisseminationEffect,
  DisseminationMessage,
} from "./messages.ts";
import { PushTree } from "./push_tree.ts";
import { type Ranked, readersOf } from "./ranks.ts";

/**
 * Longer changes are offered first: a VM that has one already, from another
 * source, would be sent it in vain otherwise.
 */
const MAX_PUSH_CHARACTERS = 4_096;

/** A push that is not confirmed by then goes to the receiver's children instead: above four round trips of 110 ms. */
export const UNSEEN_MS = 500;

/** A pull is repeated, from whoever is ahead then, after this. */
const PULL_RETRY_MS = 1_000;

/** Who this VM is. */
export interface DisseminationOptions {
  readonly self: Sender & { readonly zone: ZoneId };
}

/** A push or an offer that was not confirmed yet. */
interface Unseen {
  readonly revision: number;
  readonly sentAt: number;
}

/** Carries the changes of one document to every VM. Call {@link tick} every 100 ms or so. */
export class Dissemination {
  readonly #self: Sender & { readonly zone: ZoneId };
  readonly #from: Sender;
  readonly #log = new ChangeLog();
  readonly #unseen = new Map<VmId, Unseen>();
  #members: readonly Ranked[] = [];
  #tree: PushTree | undefined;
  #revision = 0;
  #pulledAt = -Infinity;

  constructor({ self }: DisseminationOptions) {
    this.#self = self;
    this.#from = { vm: self.vm, instance: self.instance };
  }

  /** The revision that this VM has. */
  get revision(): number {
    return this.#revision;
  }

  /** Whether this VM is one of those that poll the table for their zone. */
  isReader(): boolean {
    const { vm, zone } = this.#self;
    return readersOf(zone, this.#members).includes(vm);
  }

  /** Sets the members that the tree is built from; call it when membership changes. */
  setMembers(members: readonly Ranked[]): void {
    this.#members = members;
    this.#tree = undefined;
  }

  /** This VM read a change from the table (or made it): it is the origin. */
  originate(
    change: DisseminatedChange,
    now: number,
  ): readonly DisseminationEffect[] {
    return this.#take(change, { sender: undefined, now });
  }

  /** A snapshot was loaded. */
  loaded(revision: number, now: number): readonly DisseminationEffect[] {
    if (revision <= this.#revision) {
      return [];
    }
    this.#revision = revision;
    this.#log.clear();
    return this.#spread(undefined, now);
  }

  /** A heartbeat of a peer named a higher revision: pulls from it. */
  ahead(
    vm: VmId,
    revision: number,
    now: number,
  ): readonly DisseminationEffect[] {
    const isDue = now >= this.#pulledAt + PULL_RETRY_MS;
    return revision > this.#revision && isDue ? this.#pull(vm, now) : [];
  }

  /** Takes in a message of a peer. */
  receive(
    message: DisseminationMessage,
    now: number,
  ): readonly DisseminationEffect[] {
    const { vm } = message.from;
    switch (message.kind) {
      case "push":
        return [
          ...this.#take(message.change, { sender: vm, now }),
          this.#sendSeen(vm),
        ];
      case "offer":
        return message.revision > this.#revision
          ? this.#pull(vm, now)
          : [this.#sendSeen(vm)];
      case "seen":
        return this.#takeSeen(vm, message.revision);
      case "pull":
        return this.#answerPull(vm, message.revision);
      case "changes":
        return [
          ...message.changes.flatMap((change) =>
            this.#take(change, { sender: vm, now })
          ),
          this.#sendSeen(vm),
        ];
      case "snapshot":
        return message.revision > this.#revision
          ? [{ kind: "load-snapshot", revision: message.revision }]
          : [];
      default:
        return message satisfies never;
    }
  }

  /** Lets time pass: takes over the children of those that have not confirmed. */
  tick(now: number): readonly DisseminationEffect[] {
    const effects: DisseminationEffect[] = [];
    for (const [vm, { revision, sentAt }] of [...this.#unseen]) {
      if (now < sentAt + UNSEEN_MS) {
        continue;
      }
      this.#unseen.delete(vm);
      if (revision === this.#revision) {
        const orphans = this.#currentTree().childrenOf(vm);
        effects.push(...this.#pushTo(orphans, now));
      }
    }
    return effects;
  }

  #take(
    change: DisseminatedChange,
    { sender, now }: { sender: VmId | undefined; now: number },
  ): readonly DisseminationEffect[] {
    if (change.revision <= this.#revision) {
      return [];
    }
    const isGap = change.from !== 0 && change.from !== this.#revision;
    if (isGap) {
      return sender === undefined
        ? [{ kind: "load-snapshot", revision: change.revision }]
        : this.#pull(sender, now);
    }
    this.#revision = change.revision;
    this.#log.add(change);
    return [{ kind: "apply", change }, ...this.#spread(sender, now)];
  }

  /**
   * Pushes to the children, and upwards where the news did not come from above.
   * Everyone does so at the first learning, by whatever way it came; so whoever
   * already has a change has passed it on, and a repeat need not be.
   */
  #spread(
    sender: VmId | undefined,
    now: number,
  ): readonly DisseminationEffect[] {
    const tree = this.#currentTree();
    const { vm } = this.#self;
    const isFromAbove = sender !== undefined &&
      tree.childrenOf(sender).includes(vm);
    const above = isFromAbove ? undefined : tree.aboveOf(vm);
    const receivers = new Set(tree.childrenOf(vm));
    if (above !== undefined) {
      receivers.add(above);
    }
    if (sender !== undefined) {
      receivers.delete(sender);
    }
    return this.#pushTo([...receivers], now);
  }

  #pushTo(
    receivers: readonly VmId[],
    now: number,
  ): readonly DisseminationEffect[] {
    const change = this.#log.latest();
    const isOffer = change === undefined ||
      change.body.length > MAX_PUSH_CHARACTERS;
    const message: DisseminationMessage = isOffer
      ? { kind: "offer", from: this.#from, revision: this.#revision }
      : { kind: "push", from: this.#from, change };
    return receivers
      .filter((vm) => vm !== this.#self.vm)
      .map((vm) => {
        this.#unseen.set(vm, { revision: this.#revision, sentAt: now });
        return { kind: "send", to: vm, message };
      });
  }

  #pull(vm: VmId, now: number): readonly DisseminationEffect[] {
    this.#pulledAt = now;
    const { vm: own, instance } = this.#self;
    return [{
      kind: "send",
      to: vm,
      message: {
        kind: "pull",
        from: { vm: own, instance },
        revision: this.#revision,
      },
    }];
  }

  #answerPull(vm: VmId, revision: number): readonly DisseminationEffect[] {
    // Whoever pulls is alive and busy with it: its children are its own again.
    this.#unseen.delete(vm);
    if (revision >= this.#revision) {
      return [];
    }
    const changes = this.#log.since(revision);
    const message: DisseminationMessage = changes === undefined
      ? { kind: "snapshot", from: this.#from, revision: this.#revision }
      : { kind: "changes", from: this.#from, changes };
    return [{ kind: "send", to: vm, message }];
  }

  #takeSeen(vm: VmId, revision: number): readonly DisseminationEffect[] {
    const unseen = this.#unseen.get(vm);
    if (unseen !== undefined && revision >= unseen.revision) {
      this.#unseen.delete(vm);
    }
    return [];
  }

  #sendSeen(vm: VmId): DisseminationEffect {
    const message = {
      kind: "seen",
      from: this.#from,
      revision: this.#revision,
    } as const;
    return { kind: "send", to: vm, message };
  }

  #currentTree(): PushTree {
    this.#tree ??= new PushTree(this.#members);
    return this.#tree;
  }
}
