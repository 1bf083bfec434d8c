/**
 * Holds the chunks of a body in about as much memory as they have bytes.
 *
 * The sender chooses the size of chunks. A chunk of a byte takes some hundred bytes as an
 * object of its own, and keeps all of the read alive in which it arrived.
 *
 * @module
 */

import { Buffer } from "node:buffer";

/** Chunks from this size on are kept as they are. */
const LARGE_CHUNK_BYTES = 4_096;
const MIN_BLOCK_BYTES = 64;
const MAX_BLOCK_BYTES = 16_384;

/** See the module comment. */
export class ChunkBuffer {
  #chunks: Buffer[] = [];
  #byteLength = 0;
  /** The block that the last chunk is the beginning of. */
  #block: Buffer | undefined;

  /** Bytes of all chunks. */
  get byteLength(): number {
    return this.#byteLength;
  }

  add(chunk: Buffer): void {
    if (this.#mayKeep(chunk)) {
      this.#chunks.push(chunk);
      this.#block = undefined;
    } else {
      this.#copy(chunk);
    }
    this.#byteLength += chunk.length;
  }

  /** Removes all chunks and returns them. */
  takeAll(): Buffer[] {
    const chunks = this.#chunks;
    this.clear();
    return chunks;
  }

  /** Removes the first chunks, one at least and not more than `maxBytes` otherwise, and returns them as one. */
  take(maxBytes: number): Buffer {
    let bytes = this.#chunks[0]!.length;
    let count = 1;
    while (
      count < this.#chunks.length &&
      bytes + this.#chunks[count]!.length <= maxBytes
    ) {
      bytes += this.#chunks[count]!.length;
      count += 1;
    }
    const taken = this.#chunks.splice(0, count);
    this.#byteLength -= bytes;
    if (this.#chunks.length === 0) {
      this.#block = undefined;
    }
    return count === 1 ? taken[0]! : Buffer.concat(taken, bytes);
  }

  clear(): void {
    this.#chunks = [];
    this.#byteLength = 0;
    this.#block = undefined;
  }

  #mayKeep(chunk: Buffer): boolean {
    const isAlone = this.#chunks.length === 0;
    return (isAlone || chunk.length >= LARGE_CHUNK_BYTES) &&
      chunk.buffer.byteLength <= 2 * chunk.length;
  }

  /** Copies a chunk behind the last one. */
  #copy(chunk: Buffer): void {
    const index = this.#chunks.length - 1;
    const used = this.#block === undefined ? 0 : this.#chunks[index]!.length;
    const room = (this.#block?.length ?? 0) - used;
    const first = Math.min(room, chunk.length);
    if (first > 0) {
      chunk.copy(this.#block!, used, 0, first);
      this.#chunks[index] = this.#block!.subarray(0, used + first);
    }
    const left = chunk.length - first;
    if (left > 0) {
      this.#block = Buffer.allocUnsafeSlow(Math.max(left, this.#blockBytes));
      chunk.copy(this.#block, 0, first);
      this.#chunks.push(this.#block.subarray(0, left));
    }
  }

  /** Blocks grow with the body, so that small bodies take little. */
  get #blockBytes(): number {
    return Math.min(
      MAX_BLOCK_BYTES,
      Math.max(MIN_BLOCK_BYTES, this.#byteLength),
    );
  }
}
