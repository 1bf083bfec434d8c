/**
 * Numbers packed into bytes: 32-bit hashes, and small amounts in as few bytes as
 * they need.
 *
 * @module
 */

import { Buffer } from "node:buffer";

/** Largest value of both kinds of numbers; larger ones are packed as this. */
const MAX_VALUE = 0xffff_ffff;
/** Values of one byte of an amount; its highest bit says that more bytes follow. */
const BYTE_VALUES = 128;

/** Packs numbers one after another. */
export class PackedWriter {
  readonly #bytes: number[] = [];

  /** Packs an unsigned 32-bit hash. */
  hash(value: number): void {
    for (let shift = 0; shift < 32; shift += 8) {
      this.#bytes.push((value >>> shift) & 0xff);
    }
  }

  /** Packs an amount in steps of one divided by `perUnit`; negative ones become 0. */
  amount(value: number, perUnit = 1): void {
    const steps = Math.min(Math.round(value * perUnit), MAX_VALUE);
    let rest = steps > 0 ? steps : 0;
    while (rest >= BYTE_VALUES) {
      this.#bytes.push(rest % BYTE_VALUES + BYTE_VALUES);
      rest = Math.floor(rest / BYTE_VALUES);
    }
    this.#bytes.push(rest);
  }

  /** Packs a list: its length, then its items. */
  list<T>(items: readonly T[], write: (item: T) => void): void {
    this.amount(items.length);
    items.forEach(write);
  }

  /** All that was packed, in base64. */
  text(): string {
    return Buffer.from(this.#bytes).toString("base64");
  }
}

/** Unpacks numbers. Malformed input never throws: {@link isComplete} tells. */
export class PackedReader {
  readonly #bytes: Buffer;
  #at = 0;
  #isMalformed = false;

  constructor(text: string) {
    this.#bytes = Buffer.from(text, "base64");
  }

  /** Whether the input was well-formed and has been read to its end. */
  get isComplete(): boolean {
    return !this.#isMalformed && this.#at === this.#bytes.length;
  }

  hash(): number {
    if (this.#at + 4 > this.#bytes.length) {
      return this.#malformed();
    }
    const value = this.#bytes.readUInt32LE(this.#at);
    this.#at += 4;
    return value;
  }

  amount(perUnit = 1): number {
    let steps = 0;
    for (let factor = 1; factor <= MAX_VALUE; factor *= BYTE_VALUES) {
      const byte = this.#bytes[this.#at];
      if (byte === undefined) {
        return this.#malformed();
      }
      this.#at += 1;
      steps += byte % BYTE_VALUES * factor;
      if (byte < BYTE_VALUES) {
        return steps <= MAX_VALUE ? steps / perUnit : this.#malformed();
      }
    }
    return this.#malformed();
  }

  /** An amount between 0 and 1. */
  share(perUnit: number): number {
    const value = this.amount(perUnit);
    return value <= 1 ? value : this.#malformed();
  }

  list<T>(read: () => T): readonly T[] {
    const length = this.amount();
    const items: T[] = [];
    while (items.length < length && !this.#isMalformed) {
      items.push(read());
    }
    return items;
  }

  #malformed(): 0 {
    this.#isMalformed = true;
    return 0;
  }
}
