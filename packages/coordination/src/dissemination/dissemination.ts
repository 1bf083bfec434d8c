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
import { type RankedMember, readersOf } from "./ranks.ts";

/**
 * Longer changes are offered first, so that they are not sent to VMs that already
 * have them from another source.
 */
const MAX_PUSH_CHARACTERS = 4_096;

/** After this, a push that is not acknowledged goes to the receiver's children instead: above four round trips of 110 ms. */
export const ACK_TIMEOUT_MS = 500;

/** Interval after which a pull is repeated, from any peer with a higher revision. */
const PULL_RETRY_MS = 1_000;

/** Options of {@link Dissemination}. */
export interface DisseminationOptions {
  readonly self: Sender & { readonly zone: ZoneId };
}

/** A push or an offer that is not acknowledged yet. */
interface Unacknowledged {
  readonly revision: number;
  readonly sentAt: number;
}

/** Distributes the changes of one document to all VMs. Call {@link tick} about every 100 ms. */
export class Dissemination {
  readonly #self: Sender & { readonly zone: ZoneId };
  readonly #from: Sender;
  readonly #log = new ChangeLog();
  readonly #unacknowledged = new Map<VmId, Unacknowledged>();
  #members: readonly RankedMember[] = [];
  #tree: PushTree | undefined;
  #revision = 0;
  #pulledAt = -Infinity;

  constructor({ self }: DisseminationOptions) {
    this.#self = self;
    this.#from = { vm: self.vm, instance: self.instance };
  }

  /** This VM's revision of the document. */
  get revision(): number {
    return this.#revision;
  }

  /** Whether this VM is one of those that read the table for their zone. */
  isReader(): boolean {
    const { vm, zone } = this.#self;
    return readersOf(zone, this.#members).includes(vm);
  }

  /** Sets the members from which the tree is built; call it when membership changes. */
  setMembers(members: readonly RankedMember[]): void {
    this.#members = members;
    this.#tree = undefined;
  }

  /** Starts the distribution of a change that this VM read from the table or created. */
  originate(
    change: DisseminatedChange,
    now: number,
  ): readonly DisseminationEffect[] {
    return this.#handleChange(change, { sender: undefined, now });
  }

  /** Reports that a snapshot was loaded. */
  loaded(revision: number, now: number): readonly DisseminationEffect[] {
    if (revision <= this.#revision) {
      return [];
    }
    this.#revision = revision;
    this.#log.clear();
    return this.#propagate(undefined, now);
  }

  /** Reports the revision in a peer's heartbeat: pulls from that peer if it is higher. */
  ahead(
    vm: VmId,
    revision: number,
    now: number,
  ): readonly DisseminationEffect[] {
    const isDue = now >= this.#pulledAt + PULL_RETRY_MS;
    return revision > this.#revision && isDue ? this.#pull(vm, now) : [];
  }

  /** Handles a message from a peer. */
  receive(
    message: DisseminationMessage,
    now: number,
  ): readonly DisseminationEffect[] {
    const { vm } = message.from;
    switch (message.kind) {
      case "push":
        return [
          ...this.#handleChange(message.change, { sender: vm, now }),
          this.#sendSeen(vm),
        ];
      case "offer":
        return message.revision > this.#revision
          ? this.#pull(vm, now)
          : [this.#sendSeen(vm)];
      case "seen":
        return this.#handleSeen(vm, message.revision);
      case "pull":
        return this.#handlePull(vm, message.revision);
      case "changes":
        return [
          ...message.changes.flatMap((change) =>
            this.#handleChange(change, { sender: vm, now })
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

  /** Advances time: pushes to the children of receivers that have not acknowledged. */
  tick(now: number): readonly DisseminationEffect[] {
    const effects: DisseminationEffect[] = [];
    for (const [vm, { revision, sentAt }] of [...this.#unacknowledged]) {
      if (now < sentAt + ACK_TIMEOUT_MS) {
        continue;
      }
      this.#unacknowledged.delete(vm);
      if (revision === this.#revision) {
        const orphans = this.#currentTree().childrenOf(vm);
        effects.push(...this.#pushTo(orphans, now));
      }
    }
    return effects;
  }

  #handleChange(
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
    return [{ kind: "apply", change }, ...this.#propagate(sender, now)];
  }

  /**
   * Pushes to the children, and upstream unless the change came from the parent.
   * Every VM does so when it first receives a change, whatever the sender. So a VM
   * that already has a change has forwarded it, and ignores duplicates.
   */
  #propagate(
    sender: VmId | undefined,
    now: number,
  ): readonly DisseminationEffect[] {
    const tree = this.#currentTree();
    const { vm } = this.#self;
    const isFromParent = sender !== undefined &&
      tree.childrenOf(sender).includes(vm);
    const upstream = isFromParent ? undefined : tree.upstreamOf(vm);
    const receivers = new Set(tree.childrenOf(vm));
    if (upstream !== undefined) {
      receivers.add(upstream);
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
        this.#unacknowledged.set(vm, { revision: this.#revision, sentAt: now });
        return { kind: "send", to: vm, message };
      });
  }

  #pull(vm: VmId, now: number): readonly DisseminationEffect[] {
    this.#pulledAt = now;
    const { vm: self, instance } = this.#self;
    return [{
      kind: "send",
      to: vm,
      message: {
        kind: "pull",
        from: { vm: self, instance },
        revision: this.#revision,
      },
    }];
  }

  #handlePull(vm: VmId, revision: number): readonly DisseminationEffect[] {
    // A VM that pulls is alive and will forward the change to its children itself.
    this.#unacknowledged.delete(vm);
    if (revision >= this.#revision) {
      return [];
    }
    const changes = this.#log.since(revision);
    const message: DisseminationMessage = changes === undefined
      ? { kind: "snapshot", from: this.#from, revision: this.#revision }
      : { kind: "changes", from: this.#from, changes };
    return [{ kind: "send", to: vm, message }];
  }

  #handleSeen(vm: VmId, revision: number): readonly DisseminationEffect[] {
    const pending = this.#unacknowledged.get(vm);
    if (pending !== undefined && revision >= pending.revision) {
      this.#unacknowledged.delete(vm);
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
