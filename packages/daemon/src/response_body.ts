/**
 * The body of a response as it arrives, bounded in size.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { ChunkBuffer } from "./http/chunk_buffer.ts";

/** Longest body: several times a page of the store, of 1 MB with values in base64. */
export const MAX_BODY_BYTES = 4_194_304;
/** Most parts of a body: segments of a narrow link have 500 bytes or more. */
const MAX_PARTS = 16_384;

/** See the module comment. */
export class ResponseBody {
  readonly #chunks = new ChunkBuffer();
  #length = 0;
  #parts = 0;

  /** Bytes that have arrived. */
  get length(): number {
    return this.#length;
  }

  /** Adds a part. Returns false, and keeps nothing, if the body is larger than a sound one. */
  add(part: Buffer): boolean {
    this.#length += part.length;
    this.#parts += 1;
    if (this.#length > MAX_BODY_BYTES || this.#parts > MAX_PARTS) {
      this.#chunks.clear();
      return false;
    }
    this.#chunks.add(part);
    return true;
  }

  /** Removes what has arrived and returns it. */
  take(): Buffer {
    return Buffer.concat(this.#chunks.takeAll());
  }
}
