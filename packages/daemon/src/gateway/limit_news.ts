/**
 * News of the limits that targets name, between VMs.
 *
 * Answers a fleet of hundreds. A VM learns of a limit by its own requests: one of
 * each VM is as much as the target asked to be spared, and of the end of a limit a
 * VM learns only at its next turn, minutes later.
 *
 * @module
 */

import type { TargetId } from "@poplarthread/ids";
import type { NamedLimit } from "@poplarthread/placement";
import * as z from "zod";

/** How often what is waiting is told, in milliseconds. */
export const LIMIT_NEWS_MS = 250;
/** How often each word is told: single datagrams are lost. */
const TELLINGS = 3;
/** Words that wait; beyond it the oldest go. */
const MOST_WAITING = 200;
/** Words in one datagram: some 50 bytes each, so that it stays below 1,400 bytes. */
const MOST_WORDS = 20;

const wordSchema = z.object({
  target: z.string(),
  /** Null where the target has no limit any more. */
  perSecond: z.number().min(0).nullable(),
  /** Time since the target said so, in milliseconds. */
  ageMs: z.number().min(0),
});
const paramsSchema = z.object({ limits: z.array(wordSchema) });

/** What a target said of its limit. */
export interface LimitWord extends NamedLimit {
  readonly target: TargetId;
}

/** Words that wait until they were told often enough. */
export class LimitNews {
  readonly #waiting = new Map<TargetId, { word: LimitWord; left: number }>();

  get isEmpty(): boolean {
    return this.#waiting.size === 0;
  }

  /** The newest word of a target replaces the one before. */
  add(word: LimitWord): void {
    this.#waiting.delete(word.target);
    this.#waiting.set(word.target, { word, left: TELLINGS });
    if (this.#waiting.size > MOST_WAITING) {
      const [oldest] = this.#waiting.keys();
      this.#waiting.delete(oldest!);
    }
  }

  /** What is to be told now, as the parameters of one datagram each. */
  take(now: number): readonly object[] {
    const words = [...this.#waiting.values()].map(({ word }) => word);
    for (const [target, waiting] of this.#waiting) {
      waiting.left -= 1;
      if (waiting.left === 0) {
        this.#waiting.delete(target);
      }
    }
    return encodeLimits(words, now);
  }
}

/** The words of a datagram's parameters; undefined where they are none. */
export function decodeLimits(
  params: unknown,
  now: number,
): readonly LimitWord[] | undefined {
  const { data } = paramsSchema.safeParse(params);
  return data?.limits.map(({ target, perSecond, ageMs }) => ({
    target: target as TargetId,
    perSecond: perSecond ?? undefined,
    at: now - ageMs,
  }));
}

function encodeLimits(
  words: readonly LimitWord[],
  now: number,
): readonly object[] {
  const datagrams: object[] = [];
  for (let from = 0; from < words.length; from += MOST_WORDS) {
    const limits = words.slice(from, from + MOST_WORDS)
      .map(({ target, perSecond, at }) => ({
        target,
        perSecond: perSecond ?? null,
        ageMs: Math.round(now - at),
      }));
    datagrams.push({ limits });
  }
  return datagrams;
}
