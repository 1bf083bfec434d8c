/**
 * Small facts that VMs spread with their heartbeats: targets that leave, targets
 * that fail, requests that coincided with a target's death.
 *
 * @module
 */

import type { Fact, HeldBackMessage } from "@poplarthread/coordination";
import type { PeerBelief } from "@poplarthread/decisions";
import type { TargetId, VmId } from "@poplarthread/ids";

/** How long a fact is known: targets are polled each second, so that it is renewed in time. */
const LEAVING_FACT_MS = 20_000;
const BELIEF_FACT_MS = 3_000;
/** How often the fact of a target that still says it leaves is renewed. */
const RENEW_FACT_MS = 5_000;

/** What a fact tells. */
export type FactNews =
  | { readonly kind: "target-leaving"; readonly target: TargetId }
  /** Nobody says any more that it leaves. */
  | { readonly kind: "target-staying"; readonly target: TargetId }
  | PeerBelief
  | { readonly kind: "held-back"; readonly message: HeldBackMessage };

/** Where facts go, and who hears their news. */
export interface FactsOptions {
  readonly self: VmId;
  readonly publish: (fact: Fact) => void;
  readonly onFact: (news: FactNews) => void;
}

/** Turns what happened here into facts, and facts into news. */
export class Facts {
  readonly #options: FactsOptions;
  readonly #leavingSaid = new Map<TargetId, number>();
  #version = 0;

  constructor(options: FactsOptions) {
    this.#options = options;
  }

  /** A target said that it leaves; said again, it is renewed now and then. */
  publishLeaving(target: TargetId): void {
    const now = performance.now();
    const saidAt = this.#leavingSaid.get(target) ?? -Infinity;
    if (now - saidAt < RENEW_FACT_MS) {
      return;
    }
    this.#leavingSaid.set(target, now);
    this.#options.onFact({ kind: "target-leaving", target });
    this.#publish(`leaving/target/${target}`, {
      value: target,
      lifetimeMs: LEAVING_FACT_MS,
    });
  }

  /** This VM's own attempts say that a target fails, or works again. */
  publishBelief(target: TargetId, failing: boolean): void {
    this.#publish(`belief/${target}/${this.#options.self}`, {
      value: { failing },
      lifetimeMs: BELIEF_FACT_MS,
    });
  }

  /** A request coincided with a death, or was completed. */
  publishHeldBack(message: HeldBackMessage): void {
    this.#publish(heldBackKey(message, this.#options.self), {
      value: message as unknown as Fact["value"],
      lifetimeMs: message.remainingMs,
    });
  }

  /** A fact came from a peer. */
  receive({ key, value, lifetimeMs }: Fact): void {
    const [kind, ...rest] = key.split("/");
    const { self, onFact } = this.#options;
    switch (kind) {
      case "leaving":
        onFact({ kind: "target-leaving", target: rest[1] as TargetId });
        return;
      case "belief": {
        const [target, from] = rest as [TargetId, VmId];
        if (from !== self) {
          const { failing } = value as { failing: boolean };
          const ageMs = Math.max(0, BELIEF_FACT_MS - lifetimeMs);
          onFact({ kind: "peer-belief", from, target, failing, ageMs });
        }
        return;
      }
      case "held-back":
        onFact({
          kind: "held-back",
          message: value as unknown as HeldBackMessage,
        });
        return;
    }
  }

  /** A fact ran out without being renewed. */
  expired(key: string): void {
    if (key.startsWith("leaving/target/")) {
      const target = key.split("/")[2] as TargetId;
      this.#options.onFact({ kind: "target-staying", target });
    }
  }

  /** Versions grow with time, also over restarts of the daemon. */
  #publish(
    key: string,
    { value, lifetimeMs }: Pick<Fact, "value" | "lifetimeMs">,
  ): void {
    this.#version = Math.max(this.#version + 1, Date.now());
    const version = this.#version;
    this.#options.publish({ key, version, value, lifetimeMs, urgent: true });
  }
}

/**
 * One fact for each death: under one key the second would replace the first,
 * and the peers would never count to two.
 */
function heldBackKey(message: HeldBackMessage, self: VmId): string {
  const about = message.kind === "coincided" ? message.target : message.kind;
  return `held-back/${message.fingerprint}/${self}/${about}`;
}
