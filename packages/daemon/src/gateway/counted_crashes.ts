/**
 * The crashes that one VM has counted itself, as the platform's store should hold them.
 *
 * @module
 */

import type {
  Fingerprint,
  HeldBack,
  HeldBackReport,
  TargetRun,
} from "@poplarthread/coordination/held_back";

/** Requests of which the platform's store is told at most. */
const MAX_RECORDED = 8;
/** More requests with recent crashes than this, each with two digests, are due to targets that fail together. */
const MAX_SUSPECTS_AT_ONCE = 12;
/** Time in which VMs that hear each other have told of their suspects. */
const SUSPECTS_KNOWN_MS = 300;
/** How long a single crash is recorded, and that a request was cleared. */
const RECENT_MS = 10_000;

/** A request of which this VM has counted crashes. */
interface CountedRequest {
  /** The runs whose crashes this VM has counted. */
  readonly runs: Set<TargetRun>;
  /** The crashes known of it, by whomever counted, as of the latest look. */
  crashes: number;
  /** When that number changed. */
  changedAt: number;
  /** Whether the platform's store holds it. */
  isRecorded: boolean;
}

/** See the module comment. Times are milliseconds of the monotonic clock. */
export class CountedCrashes {
  readonly #heldBack: HeldBack;
  /** By digest; those with the newest crashes last. */
  readonly #requests = new Map<Fingerprint, CountedRequest>();

  /** `heldBack` holds what all VMs know. */
  constructor(heldBack: HeldBack) {
    this.#heldBack = heldBack;
  }

  /** Adds a crash that this VM has counted. */
  add(digest: Fingerprint, run: TargetRun, now: number): void {
    const { runs = new Set<TargetRun>(), isRecorded = false } =
      this.#requests.get(digest) ?? {};
    this.#requests.delete(digest);
    this.#requests.set(digest, {
      runs: runs.add(run),
      crashes: 0,
      changedAt: now,
      isRecorded,
    });
  }

  /**
   * What the platform's store should hold: the crashes that this VM has counted, with the
   * number of all known ones. Single crashes are left out while many requests have some,
   * as targets then fail for other reasons, unless VMs that may have counted others are
   * not heard.
   */
  reports(
    now: number,
    { isHeardByAll }: { isHeardByAll(): boolean },
  ): readonly HeldBackReport[] {
    if (this.#requests.size === 0) {
      return [];
    }
    const areSinglesTold =
      this.#heldBack.countSuspects(now, RECENT_MS) <= MAX_SUSPECTS_AT_ONCE ||
      !isHeardByAll();
    for (const [digest, request] of this.#requests) {
      this.#update(digest, request, { now, areSinglesTold });
    }
    return [...this.#requests].filter(([_, { isRecorded }]) => isRecorded)
      .slice(-MAX_RECORDED)
      .map(([digest, { runs }]) => this.#heldBack.report(digest, now, runs));
  }

  #update(
    digest: Fingerprint,
    request: CountedRequest,
    { now, areSinglesTold }: {
      readonly now: number;
      readonly areSinglesTold: boolean;
    },
  ): void {
    const crashes = this.#heldBack.crashesOf(digest, now);
    if (crashes !== request.crashes) {
      request.crashes = crashes;
      request.changedAt = now;
    }
    const unchangedMs = now - request.changedAt;
    if (crashes <= 1 && unchangedMs >= RECENT_MS) {
      this.#requests.delete(digest);
    }
    request.isRecorded ||= crashes > 1 ||
      (crashes === 1 && areSinglesTold && unchangedMs >= SUSPECTS_KNOWN_MS);
  }
}
