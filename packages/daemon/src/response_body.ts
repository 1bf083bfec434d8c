/**
 * The body of a response as it arrives, bounded in size.
 *
 * @module
 */

import { Buffer } from "node:buffer";

/** Longest body: several times a page of the store, of 1 MB with values in base64. */
export const MAX_BODY_BYTES = 4_194_304;
/** Most parts of a body: segments of a narrow link have 500 bytes or more. */
const MAX_PARTS = 16_384;

/** See the module comment. */
export class ResponseBody {
  /** What has arrived, and room for more. */
  #buffer: Buffer = Buffer.alloc(0);
  #length = 0;
  #parts = 0;

  /** Bytes that have arrived. */
  get length(): number {
    return this.#length;
  }

  /** Adds a part. Returns false, and keeps nothing, if the body is larger than a sound one. */
  add(part: Buffer): boolean {
    const start = this.#length;
    this.#length += part.length;
    this.#parts += 1;
    if (this.#length > MAX_BODY_BYTES || this.#parts > MAX_PARTS) {
      this.#buffer = Buffer.alloc(0);
      return false;
    }
    if (start === 0) {
      this.#buffer = part;
      return true;
    }
    this.#makeRoom(start);
    part.copy(this.#buffer, start);
    return true;
  }

  /** What has arrived. */
  get bytes(): Buffer {
    return this.#buffer.subarray(0, this.#length);
  }

  /** Twice the room each time, so that many small parts cost no buffer each. */
  #makeRoom(used: number): void {
    if (this.#length > this.#buffer.length) {
      const larger = Buffer.allocUnsafeSlow(
        Math.min(MAX_BODY_BYTES, 2 * this.#length),
      );
      this.#buffer.copy(larger, 0, 0, used);
      this.#buffer = larger;
    }
  }
}
