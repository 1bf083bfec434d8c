/**
 * Replicated facts with a limited lifetime.
 *
 * @module
 */

import type { Fact } from "./messages.ts";

/**
 * Beyond this the fact that expires first is removed: a flood of facts must not
 * use up the memory that steering needs.
 */
const MAX_FACTS = 4_096;

/**
 * How long the key and version of an expired fact are kept. Without this
 * tombstone, copies in flight would make the fact reappear, alternately on two
 * members.
 */
const TOMBSTONE_LIFETIME_MS = 30_000;

/** A fact and its local expiry time. */
interface KnownFact {
  readonly fact: Fact;
  readonly expiresAt: number;
}

/** The facts of one member. */
export class FactStore {
  readonly #known = new Map<string, KnownFact>();
  readonly #tombstones = new Map<
    string,
    { version: number; removeAt: number }
  >();

  /** Adds a fact; false if it is not new. */
  add(fact: Fact, now: number): boolean {
    const known = this.#known.get(fact.key)?.fact;
    const tombstone = this.#tombstones.get(fact.key);
    const isOutdated = fact.lifetimeMs <= 0 ||
      (known !== undefined && !isNewer(fact, known)) ||
      (tombstone !== undefined && fact.version <= tombstone.version);
    if (isOutdated) {
      return false;
    }
    this.#known.set(fact.key, { fact, expiresAt: now + fact.lifetimeMs });
    return true;
  }

  /** A fact with its remaining lifetime. */
  get(key: string, now: number): Fact | undefined {
    const known = this.#known.get(key);
    return known === undefined ? undefined : remaining(known, now);
  }

  /** All facts, each with its remaining lifetime. */
  all(now: number): readonly Fact[] {
    return [...this.#known.values()].map((known) => remaining(known, now));
  }

  /** Removes facts that have expired or exceed the limit; returns their keys. */
  expire(now: number): readonly string[] {
    const due = [...this.#known.values()]
      .filter(({ expiresAt }) => expiresAt <= now)
      .concat(this.#excess());
    for (const { fact } of due) {
      this.#known.delete(fact.key);
      const { version } = fact;
      this.#tombstones.set(fact.key, {
        version,
        removeAt: now + TOMBSTONE_LIFETIME_MS,
      });
    }
    for (const [key, { removeAt }] of this.#tombstones) {
      if (removeAt <= now) {
        this.#tombstones.delete(key);
      }
    }
    return due.map(({ fact }) => fact.key);
  }

  #excess(): readonly KnownFact[] {
    const excess = this.#known.size - MAX_FACTS;
    return excess <= 0 ? [] : [...this.#known.values()]
      .sort((a, b) => a.expiresAt - b.expiresAt)
      .slice(0, excess);
  }
}

function isNewer(a: Fact, b: Fact): boolean {
  if (a.version !== b.version) {
    return a.version > b.version;
  }
  // Two members published the same version: any order works if all members use it.
  return JSON.stringify(a.value) > JSON.stringify(b.value);
}

function remaining({ fact, expiresAt }: KnownFact, now: number): Fact {
  return { ...fact, lifetimeMs: Math.max(0, Math.round(expiresAt - now)) };
}
