/**
 * Pings that wait for an answer, and members that did not answer.
 *
 * @module
 */

import type { VmId } from "@poplarthread/ids";

/** An answer later than this is asked for through other members: above two round trips of 110 ms. */
export const INDIRECT_AFTER_MS = 300;

/** A member is dead to one that missed its answers in this many periods in a row after the first. */
export const SUSPECT_PERIODS = 4;

interface Probe {
  readonly vm: VmId;
  askedOthers: boolean;
  readonly sentAt: number;
}

/** The probes of one member in the current period. */
export class Probes {
  #pending = new Map<number, Probe>();
  readonly #missed = new Map<VmId, number>();
  #sequence = 0;

  /**
   * Notes a ping that is sent now; returns its number. One that is sent on
   * another's behalf never goes by way of others: each VM asked would ask others
   * of its own, and a single dead member would raise a storm of messages.
   */
  start(vm: VmId, now: number, { onBehalf } = { onBehalf: false }): number {
    this.#sequence += 1;
    const probe = { vm, askedOthers: onBehalf, sentAt: now };
    this.#pending.set(this.#sequence, probe);
    return this.#sequence;
  }

  /** An answer came, from the member itself or by way of another. */
  answered(sequence: number): VmId | undefined {
    const vm = this.#pending.get(sequence)?.vm;
    this.#pending.delete(sequence);
    return vm;
  }

  /** A member was heard: it has missed nothing. */
  heard(vm: VmId): void {
    this.#missed.delete(vm);
  }

  /** Members that have missed at least one period, and how many. */
  missed(): ReadonlyMap<VmId, number> {
    return this.#missed;
  }

  /** Probes that now should go by way of other members. */
  overdue(now: number): readonly { vm: VmId; sequence: number }[] {
    const due: { vm: VmId; sequence: number }[] = [];
    for (const [sequence, probe] of this.#pending) {
      if (!probe.askedOthers && now >= probe.sentAt + INDIRECT_AFTER_MS) {
        probe.askedOthers = true;
        due.push({ vm: probe.vm, sequence });
      }
    }
    return due;
  }

  /** Ends the period: whoever has not answered has missed it. */
  endPeriod(): void {
    const silent = new Set([...this.#pending.values()].map(({ vm }) => vm));
    for (const vm of silent) {
      // Once, however many asked for this member: a busy period is one period.
      this.#missed.set(vm, (this.#missed.get(vm) ?? 0) + 1);
    }
    this.#pending.clear();
  }

  /** Forgets everything that is pending: this member itself was not running. */
  reset(): void {
    this.#pending.clear();
    this.#missed.clear();
  }
}
