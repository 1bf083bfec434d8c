/**
 * Which VM is asked for news of the platform's store in place of the store.
 *
 * @module
 */

import type { VmId } from "@poplarthread/ids";
import type { Member } from "./ports.ts";

/** A VM that the store turned away, and that others tell what it needs, asks the store again after this, in milliseconds. */
const FALLBACK_MS = 5_000;

/** The VMs that there are to ask. */
export interface NewsSourcesOptions {
  /** VMs to ask in place of the store, best first, without those in `except`. */
  relays(except: ReadonlySet<VmId>): readonly Member[];
  /** VMs to ask where neither the store nor a relay tells anything, best first. */
  fallbacks(): readonly Member[];
}

/** See the module's comment. Times are milliseconds of the monotonic clock. */
export class NewsSources {
  readonly #options: NewsSourcesOptions;
  /** VMs that are left alone, with the moment until which. */
  readonly #resting = new Map<VmId, number>();
  /** Relays that the store turned away, with the moment until which they are passed over for others. */
  readonly #turnedAway = new Map<VmId, number>();
  /** Until then other VMs are asked in place of the store, which turned this VM away. */
  #fallsBackUntil = -Infinity;
  /** The VM that was asked last for want of another. */
  #fallback: Member | undefined;

  constructor(options: NewsSourcesOptions) {
    this.#options = options;
  }

  /** Whether there are VMs to ask in place of the store, awake or not. */
  get hasRelays(): boolean {
    return this.#options.relays(new Set()).length > 0;
  }

  /** Whether the store turned this VM away, and others tell it what they hear. */
  isSecondHand(now: number): boolean {
    return now < this.#fallsBackUntil;
  }

  /**
   * The VM to ask now; undefined where it is the store. The first read goes to the
   * store: all VMs start at once, and none has news yet.
   */
  next(
    now: number,
    { isLost, isFirst }: {
      readonly isLost: boolean;
      readonly isFirst: boolean;
    },
  ): Member | undefined {
    const isTurnedAway = isLost || this.isSecondHand(now);
    if (isFirst && !isTurnedAway) {
      return undefined;
    }
    const except = this.#passedOver(now);
    const relay = this.#firstAwake(this.#options.relays(except), now);
    if (relay !== undefined || !isTurnedAway) {
      return relay;
    }
    this.#fallback = this.#firstAwake(this.#options.fallbacks(), now);
    return this.#fallback;
  }

  /** Whether a VM was asked because nobody else tells anything. */
  isFallback({ vm }: Member): boolean {
    return vm === this.#fallback?.vm;
  }

  /** A fallback has answered; whether by what the store confirmed since it turned this VM away. */
  fallbackAnswered(isConfirmedSince: boolean, now: number): void {
    if (!isConfirmedSince) {
      this.#fallsBackUntil = -Infinity;
    } else if (!this.isSecondHand(now)) {
      this.#fallsBackUntil = now + FALLBACK_MS;
    }
  }

  /** A VM is not asked until `until`. */
  rest({ vm }: Member, until: number): void {
    this.#resting.set(vm, until);
  }

  /**
   * A relay was turned away by the store itself: until `until` the next one is asked.
   * Left alone only, it would send all that ask it to the store.
   */
  passOver(member: Member, until: number): void {
    this.#turnedAway.set(member.vm, until);
    this.rest(member, until);
  }

  #passedOver(now: number): ReadonlySet<VmId> {
    for (const [vm, until] of this.#turnedAway) {
      if (now >= until) {
        this.#turnedAway.delete(vm);
      }
    }
    return new Set(this.#turnedAway.keys());
  }

  #firstAwake(vms: readonly Member[], now: number): Member | undefined {
    return vms.find(({ vm }) => now >= (this.#resting.get(vm) ?? 0));
  }
}
