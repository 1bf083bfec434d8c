/**
 * Warm-target updates between VMs: which targets are warm for which objects.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { HashedPair } from "@poplarthread/placement";

/** About 11 bytes each in base64, so that a datagram stays below 1,400 bytes. */
const MAX_PAIRS_PER_DATAGRAM = 100;
/** Pending pairs; beyond this the oldest are dropped. A dropped pair is added again when it is used again. */
const MAX_PENDING = 800;
/** Size of a pair: two 32-bit hashes. */
const PAIR_BYTES = 8;

/** Pairs that are waiting to be sent, each once. */
export class WarmUpdates {
  readonly #pending = new Map<string, HashedPair>();

  add(pair: HashedPair): void {
    this.#pending.set(`${pair.object} ${pair.target}`, pair);
    if (this.#pending.size > MAX_PENDING) {
      const [oldest] = this.#pending.keys();
      this.#pending.delete(oldest!);
    }
  }

  /** Removes all pending pairs and returns them as base64 texts, one for each datagram. */
  take(): readonly string[] {
    const pairs = [...this.#pending.values()];
    this.#pending.clear();
    return encodePairs(pairs);
  }
}

/** Encodes pairs as base64 texts, one for each datagram. */
export function encodePairs(pairs: readonly HashedPair[]): readonly string[] {
  const texts: string[] = [];
  for (let from = 0; from < pairs.length; from += MAX_PAIRS_PER_DATAGRAM) {
    texts.push(encode(pairs.slice(from, from + MAX_PAIRS_PER_DATAGRAM)));
  }
  return texts;
}

/** Decodes a base64 text; an incomplete pair at its end is ignored. */
export function decodePairs(text: string): readonly HashedPair[] {
  const bytes = Buffer.from(text, "base64");
  const pairs: HashedPair[] = [];
  for (let at = 0; at + PAIR_BYTES <= bytes.length; at += PAIR_BYTES) {
    pairs.push({
      object: bytes.readUInt32LE(at),
      target: bytes.readUInt32LE(at + PAIR_BYTES / 2),
    });
  }
  return pairs;
}

function encode(pairs: readonly HashedPair[]): string {
  const bytes = Buffer.alloc(pairs.length * PAIR_BYTES);
  pairs.forEach(({ object, target }, index) => {
    bytes.writeUInt32LE(object, index * PAIR_BYTES);
    bytes.writeUInt32LE(target, index * PAIR_BYTES + PAIR_BYTES / 2);
  });
  return bytes.toString("base64");
}
