/**
 * Selects the source of changes of the platform's store: the store itself, a relay, or a
 * fallback.
 *
 * Relays are the VMs that rank above the local one; in normal operation they take the
 * place of the store. Fallbacks are used only if neither the store nor a relay responds.
 *
 * @module
 */

import type { VmId } from "@poplarthread/ids";
import type { Member } from "./ports.ts";

/** How long a VM that the store refused uses fallbacks before it calls the store again. */
const FALLBACK_PERIOD_MS = 5_000;

/**
 * Relays that have lost the store and are replaced by the next ones at the same time. If
 * more have lost it, the store is down, and replacing them would make all VMs call it.
 */
const MAX_LOST_RELAYS = 3;

/** How long a slow relay is replaced by the next one; twice as long each time, up to the bound. */
const MIN_SLOW_RELAY_MS = 5_000;
const MAX_SLOW_RELAY_MS = 40_000;

/** A relay that was slow. */
interface SlowRelay {
  readonly until: number;
  /** How long it was replaced last. */
  readonly replacedMs: number;
}

/** Supplies the VMs that can be queried. */
export interface ChangeSourcesOptions {
  /** VMs to query in place of the store, best first, without those in `excluded`. */
  relays(excluded: ReadonlySet<VmId>): readonly Member[];
  /** VMs to query if neither the store nor a relay responds, best first. */
  fallbacks(): readonly Member[];
}

/** See the module's comment. Times are milliseconds of the monotonic clock. */
export class ChangeSources {
  readonly #options: ChangeSourcesOptions;
  /** VMs that are not queried, with the end of their back-off. */
  readonly #backOffUntil = new Map<VmId, number>();
  /** Relays that the store refused, with the time until which the next ones take their place. */
  readonly #excludedUntil = new Map<VmId, number>();
  /** Relays that had lost the store, with the time until which the next ones take their place. */
  readonly #lostUntil = new Map<VmId, number>();
  /** Relays that were slow, also those that are used again. */
  readonly #slow = new Map<VmId, SlowRelay>();
  /** Until then other VMs are queried in place of the store, which refused this VM. */
  #usesFallbackUntil = -Infinity;
  /** The store has refused this VM since it last began to use fallbacks. */
  #isRefused = false;
  /** The fallback that was selected last. */
  #fallback: Member | undefined;

  constructor(options: ChangeSourcesOptions) {
    this.#options = options;
  }

  /** Whether this VM has relays, including those in back-off. */
  get hasRelays(): boolean {
    return this.#options.relays(new Set()).length > 0;
  }

  /** Whether the store refused this VM, so that it gets its changes from fallbacks. */
  isRelayed(now: number): boolean {
    return now < this.#usesFallbackUntil;
  }

  /**
   * The VM to query now; undefined for the store itself. The first read goes to the
   * store: all VMs may start at the same time, when none has rows yet.
   */
  next(
    now: number,
    { isLost, isFirst }: {
      readonly isLost: boolean;
      readonly isFirst: boolean;
    },
  ): Member | undefined {
    const isStoreLost = isLost || this.isRelayed(now);
    if (isFirst && !isStoreLost) {
      return undefined;
    }
    const excluded = this.#excluded(now);
    const relay = this.#firstAvailable(this.#options.relays(excluded), now);
    if (relay !== undefined || !isStoreLost) {
      return relay;
    }
    this.#fallback = this.#firstAvailable(this.#options.fallbacks(), now);
    return this.#fallback;
  }

  /**
   * VMs that may be queried beside the source in use, best first. Those of other regions
   * are left out unless that is the store: VMs of a region need not read it twice.
   */
  beside(
    now: number,
    { used, isLost }: {
      /** The VM in use; undefined for the store. */
      readonly used: Member | undefined;
      readonly isLost: boolean;
    },
  ): readonly Member[] {
    const relays = this.#options.relays(this.#excluded(now));
    const fallbacks = used === undefined || isLost
      ? this.#options.fallbacks()
      : [];
    return [...relays, ...fallbacks].filter((member) =>
      member.vm !== used?.vm && this.#isAvailable(member, now)
    );
  }

  /** Whether a VM was selected as fallback. */
  isFallback({ vm }: Member): boolean {
    return vm === this.#fallback?.vm;
  }

  /** A fallback has responded; `isConfirmedSince`: with rows that the store confirmed after this VM lost it. */
  fallbackResponded(isConfirmedSince: boolean, now: number): void {
    if (!isConfirmedSince) {
      this.#usesFallbackUntil = -Infinity;
    } else if (this.#isRefused) {
      // A response that arrives after the period must not begin the next one: the store
      // would not be called again.
      this.#isRefused = false;
      this.#usesFallbackUntil = now + FALLBACK_PERIOD_MS;
    }
  }

  /** The store has refused this VM, or did not respond to it. */
  storeFailed(): void {
    this.#isRefused = true;
  }

  /** The store has answered this VM: no fallback takes its place. */
  storeAnswered(): void {
    this.#usesFallbackUntil = -Infinity;
  }

  /** Stops querying a VM until `until`. */
  backOff({ vm }: Member, until: number): void {
    this.#backOffUntil.set(vm, until);
  }

  /**
   * Replaces a relay that the store refused by the next one until `until`. With a back-off
   * alone, all VMs that use this relay would call the store instead.
   */
  exclude(member: Member, until: number): void {
    this.#excludedUntil.set(member.vm, until);
    this.backOff(member, until);
  }

  /** Another source was faster than a relay: the next one takes its place for a while. */
  slow(relay: Member, now: number): void {
    const { until = -Infinity, replacedMs = 0 } = this.#slow.get(relay.vm) ??
      {};
    const isAgain = now < until + replacedMs;
    const ms = isAgain
      ? Math.min(MAX_SLOW_RELAY_MS, 2 * replacedMs)
      : MIN_SLOW_RELAY_MS;
    this.#slow.set(relay.vm, { until: now + ms, replacedMs: ms });
    this.exclude(relay, now + ms);
  }

  /** Whether a further relay may be replaced because it has lost the store. */
  mayReplaceLost(now: number): boolean {
    return current(this.#lostUntil, now).length < MAX_LOST_RELAYS;
  }

  /** Replaces a relay that has lost the store by the next one until `until`. */
  replaceLost({ vm }: Member, until: number): void {
    this.#lostUntil.set(vm, until);
  }

  #excluded(now: number): ReadonlySet<VmId> {
    return new Set([
      ...current(this.#excludedUntil, now),
      ...current(this.#lostUntil, now),
    ]);
  }

  #firstAvailable(vms: readonly Member[], now: number): Member | undefined {
    return vms.find((member) => this.#isAvailable(member, now));
  }

  #isAvailable({ vm }: Member, now: number): boolean {
    return now >= (this.#backOffUntil.get(vm) ?? 0);
  }
}

/** The VMs whose time has not passed; the others are removed. */
function current(until: Map<VmId, number>, now: number): readonly VmId[] {
  for (const [vm, untilMs] of until) {
    if (now >= untilMs) {
      until.delete(vm);
    }
  }
  return [...until.keys()];
}
