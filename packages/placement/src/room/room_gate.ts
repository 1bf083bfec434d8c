/**
 * Admits or refuses new requests of a service by the shares that the owner of its
 * homes has announced.
 *
 * Answers loads with more work than slots. A request that finds no room is refused
 * at once, with the time at which it will, instead of waiting in a queue until its
 * objective has passed. Room goes first to accounts that send what they usually do
 * and to requests that can still be in time.
 *
 * @module
 */

import type { AccountId } from "@poplarthread/ids";
import type { RoomShare } from "../homes/messages.ts";
import { AccountShares } from "./account_shares.ts";
import { Promises, type ReturnState } from "./promises.ts";

/** A new request. */
export interface GateRequest {
  /** Priority rank; 0 is the most urgent. */
  readonly priority: number;
  /** Undefined if callers are not identified. */
  readonly account: AccountId | undefined;
  /** Hash that is equal for repeats of the request; undefined if it has none. */
  readonly repeatKey: number | undefined;
  /** Whether its response is expected within its latency objective. */
  isInTime(): boolean;
  /** Longest time that its caller waits before it returns. */
  readonly maxReturnMs: number;
}

/** When a request is decided on. */
export interface GateMoment {
  /** The shares that the owner last announced; none if there is room for all. */
  readonly shares: readonly RoomShare[];
  readonly now: number;
}

/** Why a request was refused. */
export type GateCause =
  /** The room of its priority is used up. */
  | "share"
  /** Its account sends far more than its usual share. */
  | "account"
  /** It would be late, and there is only room for those that are not. */
  | "late"
  /** It was refused before and has come back before the time it was told. */
  | "early-return";

/** What happens to a new request. */
export type GateDecision =
  | { readonly kind: "admit" }
  | {
    readonly kind: "refuse";
    readonly cause: GateCause;
    readonly retryAfterMs: number;
  };

/** Counters for metrics, since the start. */
export interface GateCounts {
  readonly admitted: number;
  readonly refused: Readonly<Record<GateCause, number>>;
  readonly refusedByPriority: ReadonlyMap<number, number>;
  /** Refused requests that returned in their time and were admitted. */
  readonly promisesKept: number;
  /** Refused requests that returned in their time and were refused again. */
  readonly promisesBroken: number;
}

/** Room that may be saved up by requests that are refused although it exists. */
const MAX_CREDIT = 3;
/** Requests that may be admitted for promises ahead of the room for them. */
const MAX_DEBT = 3;
/**
 * Return times are spread by this share around the announced one, so that callers
 * refused together don't return together.
 */
const RETURN_SPREAD = 0.5;
/** Fraction of the golden ratio: its multiples are evenly spread in 0 to 1. */
const GOLDEN_FRACTION = 0.618_033_988_749_895;

const ADMIT: GateDecision = { kind: "admit" };

/** The gate of one service on one VM. Times are milliseconds of the monotonic clock. */
export class RoomGate {
  readonly #accounts = new AccountShares();
  readonly #promises = new Promises();
  /** Room available to each priority, in requests. */
  readonly #credits = new Map<number, number>();
  readonly #refused: Record<GateCause, number> = {
    share: 0,
    account: 0,
    late: 0,
    "early-return": 0,
  };
  readonly #refusedByPriority = new Map<number, number>();
  #admitted = 0;
  #promisesKept = 0;
  #promisesBroken = 0;
  /** Position in the sequence of return times, 0 to 1; it differs between VMs. */
  #spread: number;

  /** `phase` is from 0 up to 1 and differs between VMs. */
  constructor(phase: number) {
    this.#spread = phase;
  }

  get counts(): GateCounts {
    return {
      admitted: this.#admitted,
      refused: { ...this.#refused },
      refusedByPriority: new Map(this.#refusedByPriority),
      promisesKept: this.#promisesKept,
      promisesBroken: this.#promisesBroken,
    };
  }

  /** Decides whether a new request is admitted. Call it once for each request. */
  decide(request: GateRequest, { shares, now }: GateMoment): GateDecision {
    const { priority, account, repeatKey } = request;
    if (account !== undefined) {
      this.#accounts.arrived(account, now);
    }
    const share = shareOf(shares, priority);
    const returned = this.#promises.takeReturn(repeatKey, now);
    this.#promisesKept += returned.kind === "due" ? 1 : 0;
    if (share === undefined) {
      return this.#admit();
    }
    const credit = this.#accrue(share);
    const cause = this.#causeFor(request, returned, now);
    if (credit >= creditNeeded(returned, cause)) {
      this.#credits.set(priority, credit - 1);
      return this.#admit();
    }
    if (this.#promises.forgetKept(repeatKey)) {
      this.#breakPromise();
    }
    this.#countRefusal(cause, priority);
    return {
      kind: "refuse",
      cause,
      retryAfterMs: returned.kind === "early"
        ? Math.round(Math.min(returned.dueAt - now, request.maxReturnMs))
        : this.#promise(request, share, now),
    };
  }

  /**
   * A request that was admitted has been refused after all, since it would have
   * waited too long. Returns when it finds room, if the shares are in force.
   */
  refusedLater(
    request: Omit<GateRequest, "isInTime">,
    { shares, now }: GateMoment,
  ): number | undefined {
    if (this.#promises.forgetKept(request.repeatKey)) {
      this.#breakPromise();
    }
    const share = shareOf(shares, request.priority);
    return share && this.#promise(request, share, now);
  }

  /** Adds the room for one arrival. */
  #accrue({ priority, admitted }: RoomShare): number {
    const credit = (this.#credits.get(priority) ?? this.#spread) + admitted;
    const bounded = Math.min(credit, MAX_CREDIT);
    this.#credits.set(priority, bounded);
    return bounded;
  }

  /** Why the request is refused if there isn't room for all. */
  #causeFor(
    request: GateRequest,
    returned: ReturnState,
    now: number,
  ): GateCause {
    if (returned.kind === "early") {
      return "early-return";
    }
    const { account } = request;
    if (
      account !== undefined && this.#accounts.isFarAboveUsual(account, now)
    ) {
      return "account";
    }
    return request.isInTime() ? "share" : "late";
  }

  #promise(
    { repeatKey, maxReturnMs }: Omit<GateRequest, "isInTime">,
    { returnMs }: RoomShare,
    now: number,
  ): number {
    this.#spread = (this.#spread + GOLDEN_FRACTION) % 1;
    const spreadMs = returnMs * (1 + RETURN_SPREAD * (this.#spread - 0.5));
    const retryAfterMs = Math.round(Math.min(spreadMs, maxReturnMs));
    if (repeatKey !== undefined) {
      this.#promises.add(repeatKey, now + retryAfterMs);
    }
    return retryAfterMs;
  }

  #breakPromise(): void {
    this.#promisesKept -= 1;
    this.#promisesBroken += 1;
  }

  #admit(): GateDecision {
    this.#admitted += 1;
    return ADMIT;
  }

  #countRefusal(cause: GateCause, priority: number): void {
    this.#refused[cause] += 1;
    const before = this.#refusedByPriority.get(priority) ?? 0;
    this.#refusedByPriority.set(priority, before + 1);
  }
}

/**
 * The share of a priority. One that the owner hasn't counted yet gets that of the next
 * more urgent one; undefined if there is room for all.
 */
function shareOf(
  shares: readonly RoomShare[],
  priority: number,
): RoomShare | undefined {
  let nearest: RoomShare | undefined;
  for (const share of shares) {
    const isNearer = share.priority <= priority &&
      share.priority >= (nearest?.priority ?? 0);
    nearest = isNearer ? share : nearest;
  }
  return nearest && { ...nearest, priority };
}

/** Room that must have accrued for a request to be admitted. */
function creditNeeded(returned: ReturnState, cause: GateCause): number {
  if (returned.kind === "due") {
    return 1 - MAX_DEBT;
  }
  return cause === "share" ? 1 : 2;
}
