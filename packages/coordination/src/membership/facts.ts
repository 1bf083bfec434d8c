/**
 * Facts that are known for a while.
 *
 * @module
 */

import type { Fact } from "./messages.ts";

/**
 * Most facts kept at once. Beyond it the one that ends first goes: a flood of
 * facts must not take the memory that steering needs.
 */
const MAX_FACTS = 4_096;

/**
 * An ended fact's key and version are remembered this long. Copies that were on
 * their way would bring it back to life otherwise, in turns between two members.
 */
const ENDED_MEMORY_MS = 30_000;

interface Known {
  readonly fact: Fact;
  readonly expiresAt: number;
}

/** The facts of one member. */
export class Facts {
  readonly #known = new Map<string, Known>();
  readonly #ended = new Map<string, { version: number; forgetAt: number }>();

  /** Takes a fact in; false when it is not new. */
  learn(fact: Fact, now: number): boolean {
    const known = this.#known.get(fact.key)?.fact;
    const ended = this.#ended.get(fact.key);
    const isOld = fact.lifetimeMs <= 0 ||
      (known !== undefined && !isNewer(fact, known)) ||
      (ended !== undefined && fact.version <= ended.version);
    if (isOld) {
      return false;
    }
    this.#known.set(fact.key, { fact, expiresAt: now + fact.lifetimeMs });
    return true;
  }

  /** A fact with the lifetime it has left. */
  get(key: string, now: number): Fact | undefined {
    const known = this.#known.get(key);
    return known === undefined ? undefined : remaining(known, now);
  }

  /** All facts, each with the lifetime it has left. */
  all(now: number): readonly Fact[] {
    return [...this.#known.values()].map((known) => remaining(known, now));
  }

  /** Ends what has run out or exceeds the bound; returns the keys. */
  expire(now: number): readonly string[] {
    const due = [...this.#known.values()]
      .filter(({ expiresAt }) => expiresAt <= now)
      .concat(this.#excess());
    for (const { fact } of due) {
      this.#known.delete(fact.key);
      const { version } = fact;
      this.#ended.set(fact.key, { version, forgetAt: now + ENDED_MEMORY_MS });
    }
    for (const [key, { forgetAt }] of this.#ended) {
      if (forgetAt <= now) {
        this.#ended.delete(key);
      }
    }
    return due.map(({ fact }) => fact.key);
  }

  #excess(): readonly Known[] {
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
  // Two members published one version: any order will do, if all members use it.
  return JSON.stringify(a.value) > JSON.stringify(b.value);
}

function remaining({ fact, expiresAt }: Known, now: number): Fact {
  return { ...fact, lifetimeMs: Math.max(0, Math.round(expiresAt - now)) };
}
