/**
 * Facts that VMs disseminate with their heartbeats: leaving targets, failing targets,
 * and requests that were in flight on a target when it crashed.
 *
 * @module
 */

import type { Fact, HeldBackMessage } from "@poplarthread/coordination";
import type { PeerHealth } from "@poplarthread/decisions";
import type { TargetId, VmId } from "@poplarthread/ids";

/** Lifetimes of facts; targets are polled each second, so that facts are renewed in time. */
const LEAVING_LIFETIME_MS = 20_000;
const HEALTH_LIFETIME_MS = 3_000;
/** Renewal interval of the fact of a target that still reports that it is leaving. */
const LEAVING_RENEWAL_INTERVAL_MS = 5_000;

/** Updates derived from facts. */
export type FactUpdate =
  | { readonly kind: "target-leaving"; readonly target: TargetId }
  /** All leaving notices of the target have expired. */
  | { readonly kind: "target-staying"; readonly target: TargetId }
  | PeerHealth
  | { readonly kind: "held-back"; readonly message: HeldBackMessage };

/** Options of {@link Facts}. */
export interface FactsOptions {
  readonly self: VmId;
  readonly publish: (fact: Fact) => void;
  readonly onFact: (update: FactUpdate) => void;
}

/** Publishes local events as facts, and converts received facts into updates. */
export class Facts {
  readonly #options: FactsOptions;
  readonly #leavingPublishedAt = new Map<TargetId, number>();
  #version = 0;

  constructor(options: FactsOptions) {
    this.#options = options;
  }

  /** Publishes that a target is leaving, and renews the fact while the target reports it. */
  publishLeaving(target: TargetId): void {
    const now = performance.now();
    const publishedAt = this.#leavingPublishedAt.get(target) ?? -Infinity;
    if (now - publishedAt < LEAVING_RENEWAL_INTERVAL_MS) {
      return;
    }
    this.#leavingPublishedAt.set(target, now);
    this.#options.onFact({ kind: "target-leaving", target });
    this.#publish(`leaving/target/${target}`, {
      value: target,
      lifetimeMs: LEAVING_LIFETIME_MS,
    });
  }

  /** Publishes that a target fails, or works again, by the attempts of this VM. */
  publishHealth(target: TargetId, failing: boolean): void {
    this.#publish(`belief/${target}/${this.#options.self}`, {
      value: { failing },
      lifetimeMs: HEALTH_LIFETIME_MS,
    });
  }

  /** Publishes that a request coincided with a crash, or was completed. */
  publishHeldBack(message: HeldBackMessage): void {
    this.#publish(heldBackKey(message, this.#options.self), {
      value: message as unknown as Fact["value"],
      lifetimeMs: message.remainingMs,
    });
  }

  /** Handles a fact received from a peer. */
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
          const ageMs = Math.max(0, HEALTH_LIFETIME_MS - lifetimeMs);
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

  /** Handles the expiry of a fact that was not renewed. */
  expired(key: string): void {
    if (key.startsWith("leaving/target/")) {
      const target = key.split("/")[2] as TargetId;
      this.#options.onFact({ kind: "target-staying", target });
    }
  }

  /** Versions follow the wall clock, so that they also increase over restarts of the daemon. */
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
 * One key for each crash: under a common key the second fact would replace the
 * first, and peers would never count two crashes.
 */
function heldBackKey(message: HeldBackMessage, self: VmId): string {
  const subject = message.kind === "coincided" ? message.target : message.kind;
  return `held-back/${message.fingerprint}/${self}/${subject}`;
}
