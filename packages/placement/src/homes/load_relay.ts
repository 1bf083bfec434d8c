/**
 * Loads of full targets that one VM observed, on their way to the others.
 *
 * It answers queues at homes that grow unseen: a VM sends a target a request every
 * few seconds, and meanwhile knows nothing of the others'. Targets that are neither
 * full nor were are left out, so that VMs exchange nothing at moderate load.
 *
 * @module
 */

import type { HomeTarget } from "./home_agent.ts";
import type { ObservedLoad } from "./messages.ts";

/** Loads to pass on, the latest of each target. */
export class LoadRelay {
  readonly #slots = new Map<number, number>();
  /** Requests at the targets, as last reported to any VM. */
  readonly #requests = new Map<number, number>();
  #toSend = new Map<number, ObservedLoad>();

  /** Sets the service's targets. */
  setTargets(targets: readonly HomeTarget[]): void {
    this.#slots.clear();
    targets.forEach(({ hash, slots }) => this.#slots.set(hash, slots));
    for (const target of this.#requests.keys()) {
      if (!this.#slots.has(target)) {
        this.#requests.delete(target);
        this.#toSend.delete(target);
      }
    }
  }

  /** Records a load; it is passed on if the target is full or was so before. */
  record(load: ObservedLoad): void {
    const slots = this.#slots.get(load.target);
    if (slots === undefined) {
      return;
    }
    const before = this.#requests.get(load.target) ?? 0;
    this.#requests.set(load.target, load.requests);
    if (Math.max(before, load.requests) >= slots) {
      this.#toSend.set(load.target, load);
    }
  }

  /** Notes loads that all VMs of the region get. */
  note(loads: readonly ObservedLoad[]): void {
    for (const { target, requests } of loads) {
      this.#requests.set(target, requests);
    }
  }

  /** Removes and returns the loads to pass on. */
  take(): readonly ObservedLoad[] {
    const loads = [...this.#toSend.values()];
    this.#toSend = new Map();
    return loads;
  }
}
