/**
 * How much of what it got a service, or one of its targets, lately refused to run.
 *
 * While a service is out of room, a target that refuses requests is not failing: it
 * answers, and runs what it accepts. If its refusals counted as failures, its objects
 * would move to targets that run them uncached, which takes more of the room that is
 * already short. A target that refuses much while others don't is avoided.
 *
 * @module
 */

import type { TargetId } from "@poplarthread/ids";
import { WindowCount } from "../window_count.ts";

/** Window of the rates: refusals say little about the room after a second. */
const WINDOW_MS = 1_000;
/**
 * Window in which a service must have refused nearly everything for retries to be
 * hopeless.
 */
const CLOSED_WINDOW_MS = 2_000;
/** Share of refusals above which a target or service is out of room. */
const OUT_OF_ROOM_SHARE = 1 / 3;
/** Share of refusals above which hardly any retry succeeds. */
const CLOSED_SHARE = 0.9;
/** Responses from which the share of a service is meaningful. */
const MIN_RESPONSES = 3;
const MIN_CLOSED_RESPONSES = 8;

/** Responses and refusals in a window. */
class RefusalWindow {
  readonly #responses: WindowCount;
  readonly #refusals: WindowCount;

  constructor(windowMs: number) {
    this.#responses = new WindowCount(windowMs);
    this.#refusals = new WindowCount(windowMs);
  }

  add(isRefusal: boolean, now: number): void {
    this.#responses.add(now);
    if (isRefusal) {
      this.#refusals.add(now);
    }
  }

  responses(now: number): number {
    return this.#responses.sum(now);
  }

  /** Share of refusals, 0 if there were no responses. */
  share(now: number): number {
    const responses = this.#responses.sum(now);
    return responses === 0 ? 0 : this.#refusals.sum(now) / responses;
  }
}

/** Refusals of one service's targets. Times are milliseconds of the monotonic clock. */
export class RefusalRates {
  readonly #recent = new RefusalWindow(WINDOW_MS);
  readonly #longer = new RefusalWindow(CLOSED_WINDOW_MS);
  /** Targets that have refused a request within the window. */
  readonly #targets = new Map<TargetId, RefusalWindow>();

  /** Records a target's response. */
  responded(target: TargetId, isRefusal: boolean, now: number): void {
    this.#recent.add(isRefusal, now);
    this.#longer.add(isRefusal, now);
    let window = this.#targets.get(target);
    if (window === undefined && isRefusal) {
      this.#dropOld(now);
      window = new RefusalWindow(WINDOW_MS);
      this.#targets.set(target, window);
    }
    window?.add(isRefusal, now);
  }

  /** Whether the service as a whole is out of room. */
  isOutOfRoom(now: number): boolean {
    return this.#recent.responses(now) >= MIN_RESPONSES &&
      this.#recent.share(now) > OUT_OF_ROOM_SHARE;
  }

  /** Whether the service refuses nearly everything. */
  isClosed(now: number): boolean {
    return this.#longer.responses(now) >= MIN_CLOSED_RESPONSES &&
      this.#longer.share(now) >= CLOSED_SHARE;
  }

  /**
   * Share of a target's usual requests that may be sent there. It is not lowered
   * while the whole service is out of room: other targets would refuse as much.
   */
  usableShare(target: TargetId, now: number): number {
    const refused = this.#targets.get(target)?.share(now) ?? 0;
    return refused > OUT_OF_ROOM_SHARE && !this.isOutOfRoom(now)
      ? 1 - refused
      : 1;
  }

  #dropOld(now: number): void {
    for (const [target, window] of this.#targets) {
      if (window.responses(now) === 0) {
        this.#targets.delete(target);
      }
    }
  }
}
