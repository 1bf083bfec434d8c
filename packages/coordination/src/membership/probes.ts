/**
 * Outstanding pings, and members that did not respond.
 *
 * @module
 */

import type { VmId } from "@poplarthread/ids";

/** After this, a ping is repeated through other members: above two round trips of 110 ms. */
export const INDIRECT_PING_AFTER_MS = 300;

/** A member is considered dead if it misses this many consecutive periods after the first. */
export const SUSPECT_PERIODS = 4;

/** An outstanding ping. */
interface Probe {
  readonly vm: VmId;
  isIndirect: boolean;
  readonly sentAt: number;
}

/** The probes of one member in the current period. */
export class Probes {
  #pending = new Map<number, Probe>();
  readonly #missed = new Map<VmId, number>();
  #sequence = 0;

  /**
   * Records a ping that is sent now and returns its sequence number. A ping on
   * behalf of another member is never repeated indirectly: each VM would involve
   * further VMs, and a single dead member would cause a storm of messages.
   */
  start(vm: VmId, now: number, { onBehalf } = { onBehalf: false }): number {
    this.#sequence += 1;
    const probe = { vm, isIndirect: onBehalf, sentAt: now };
    this.#pending.set(this.#sequence, probe);
    return this.#sequence;
  }

  /** Handles an acknowledgement, direct or indirect; returns the member that was pinged. */
  acknowledge(sequence: number): VmId | undefined {
    const vm = this.#pending.get(sequence)?.vm;
    this.#pending.delete(sequence);
    return vm;
  }

  /** Resets the missed periods of a member that has responded. */
  clearMissed(vm: VmId): void {
    this.#missed.delete(vm);
  }

  /** The number of periods missed, by member that has missed at least one. */
  missed(): ReadonlyMap<VmId, number> {
    return this.#missed;
  }

  /** Probes that should now be repeated through other members. */
  overdue(now: number): readonly { vm: VmId; sequence: number }[] {
    const due: { vm: VmId; sequence: number }[] = [];
    for (const [sequence, probe] of this.#pending) {
      if (!probe.isIndirect && now >= probe.sentAt + INDIRECT_PING_AFTER_MS) {
        probe.isIndirect = true;
        due.push({ vm: probe.vm, sequence });
      }
    }
    return due;
  }

  /** Ends the period: each member with an outstanding ping has missed it. */
  endPeriod(): void {
    const unresponsive = new Set(
      [...this.#pending.values()].map(({ vm }) => vm),
    );
    for (const vm of unresponsive) {
      // Counted once a period, however many pings to this member are outstanding.
      this.#missed.set(vm, (this.#missed.get(vm) ?? 0) + 1);
    }
    this.#pending.clear();
  }

  /** Clears pending pings and missed periods, after this member itself was paused. */
  reset(): void {
    this.#pending.clear();
    this.#missed.clear();
  }
}
