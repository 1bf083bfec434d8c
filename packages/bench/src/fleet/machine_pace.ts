/**
 * Pace of the machine that a target runs on and shares with others.
 *
 * @module
 */

import { pairWeight } from "@poplarthread/placement";
import type { ScenarioService } from "./scenario.ts";

/** Alternates between the usual and a slow pace, in spells of equal length. */
export class MachinePace {
  readonly #hash: number;
  readonly #share: number;
  readonly #factor: number;
  readonly #spellMs: number;
  /** Differs by machine, so that not all spells end together. */
  readonly #offsetMs: number;

  /** `hash` is that of the target. */
  constructor(
    hash: number,
    { share, factor, spellMs }: NonNullable<ScenarioService["pace"]>,
  ) {
    this.#hash = hash;
    this.#share = share;
    this.#factor = factor;
    this.#spellMs = spellMs;
    this.#offsetMs = hash % 1_000 / 1_000 * spellMs;
  }

  /** Time that work takes, as a multiple of the usual time. */
  at(now: number): number {
    return this.#paceIn(this.#spellAt(now));
  }

  /** How long work that usually takes `workMs` runs if it starts now. */
  durationMs(workMs: number, now: number): number {
    let leftMs = workMs;
    let at = now;
    for (let spell = this.#spellAt(now);; spell += 1) {
      const pace = this.#paceIn(spell);
      const spellEndsAt = (spell + 1) * this.#spellMs - this.#offsetMs;
      if (at + leftMs * pace <= spellEndsAt) {
        return at + leftMs * pace - now;
      }
      leftMs -= (spellEndsAt - at) / pace;
      at = spellEndsAt;
    }
  }

  #spellAt(now: number): number {
    return Math.floor((now + this.#offsetMs) / this.#spellMs);
  }

  #paceIn(spell: number): number {
    const isSlow = pairWeight(this.#hash, spell) / 2 ** 32 < this.#share;
    return isSlow ? this.#factor : 1;
  }
}
