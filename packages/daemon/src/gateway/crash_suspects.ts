/**
 * Requests that coincide with the crash of their targets.
 *
 * A request may crash every target that begins to run it, and its caller sends
 * it again. Without this, one request takes the targets of a service down one
 * after the other; one notices targets that restart with the same request as
 * their last one. A request that broke off on several targets is held back for a
 * while, on all VMs: they tell each other.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { Buffer } from "node:buffer";
import type { TargetId } from "@poplarthread/ids";

/** Crashes after which a request is held back. One or two coincide with any request while targets fail for other reasons. */
const HELD_BACK_AFTER = 3;
/** How long a crash counts, and a request is held back, in milliseconds. */
const COUNTS_MS = 30_000;
/** A crash follows a broken attempt within this time, in milliseconds: the next connection to the target fails, which the next request or a probe shows. */
const CRASH_FOLLOWS_MS = 1_500;
/** Digests that are kept; about 100 bytes each. */
const MOST_DIGESTS = 2_000;
/** Bytes of a digest, in base64: enough to tell some thousand requests apart. */
const DIGEST_CHARACTERS = 12;

/** News of a crash for the other VMs. */
export interface SuspectedCrash {
  readonly digest: string;
  readonly target: TargetId;
}

/** See the module's comment. Times are milliseconds of the monotonic clock. */
export class CrashSuspects {
  readonly #publish: (news: SuspectedCrash) => void;
  /** When targets crashed, by digest and target: a target counts once. */
  readonly #broken = new Map<string, Map<TargetId, number>>();

  /** What broke off lately, by target, before it is known whether the target crashed. */
  readonly #recent = new Map<TargetId, Map<string, number>>();

  constructor(publish: (news: SuspectedCrash) => void) {
    this.#publish = publish;
  }

  /** Names a request by what a repeat has in common with it. */
  digestOf(method: string, url: string, body: Buffer | undefined): string {
    const hash = createHash("sha1").update(`${method} ${url}\n`);
    if (body !== undefined) {
      hash.update(body);
    }
    return hash.digest("base64").slice(0, DIGEST_CHARACTERS);
  }

  /** An attempt of this VM broke off. That alone says nothing: connections are reset for many reasons. */
  broke(digest: string | undefined, target: TargetId, now: number): void {
    if (digest === undefined) {
      return;
    }
    const recent = this.#recent.get(target) ?? new Map<string, number>();
    recent.set(digest, now);
    this.#recent.set(target, recent);
  }

  /** A target crashed; what broke off on it just before may be why. */
  crashed(target: TargetId, now: number): void {
    for (const [digest, at] of this.#recent.get(target) ?? []) {
      if (now - at < CRASH_FOLLOWS_MS) {
        this.heard({ digest, target }, now);
        this.#publish({ digest, target });
      }
    }
    this.#recent.delete(target);
  }

  /** A crash that any VM has seen. */
  heard({ digest, target }: SuspectedCrash, now: number): void {
    const targets = this.#broken.get(digest) ?? new Map<TargetId, number>();
    this.#broken.delete(digest);
    targets.set(target, now);
    this.#broken.set(digest, targets);
    if (this.#broken.size > MOST_DIGESTS) {
      const [oldest] = this.#broken.keys();
      this.#broken.delete(oldest!);
    }
  }

  /** For how long the request is held back, in milliseconds; 0 where it may run. */
  heldBackMs(digest: string, now: number): number {
    const targets = this.#broken.get(digest);
    if (targets === undefined || targets.size < HELD_BACK_AFTER) {
      return 0;
    }
    const times = [...targets.values()].toSorted((a, b) => b - a);
    const counted = times[HELD_BACK_AFTER - 1]!;
    return Math.max(0, counted + COUNTS_MS - now);
  }
}
