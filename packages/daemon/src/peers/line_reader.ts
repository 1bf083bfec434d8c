/**
 * Splits the bytes received on a connection into lines of limited length.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { PeerProtocolError } from "../errors.ts";

const NEWLINE = 0x0a;

/** Buffers the chunks of an incomplete line. */
export class LineReader {
  #chunks: Buffer[] = [];
  #lineBytes = 0;
  /** Longest line; may be raised once the peer is authenticated. */
  maxLineBytes: number;

  constructor(maxLineBytes: number) {
    this.maxLineBytes = maxLineBytes;
  }

  /** Returns the lines that `chunk` completes. Throws {@link PeerProtocolError} if one is too long. */
  read(chunk: Buffer): string[] {
    const lines: string[] = [];
    let start = 0;
    for (
      let end = chunk.indexOf(NEWLINE);
      end !== -1;
      end = chunk.indexOf(NEWLINE, start)
    ) {
      this.#add(chunk.subarray(start, end));
      lines.push(Buffer.concat(this.#chunks).toString("utf8"));
      this.#chunks = [];
      this.#lineBytes = 0;
      start = end + 1;
    }
    this.#add(chunk.subarray(start));
    return lines;
  }

  #add(part: Buffer): void {
    this.#lineBytes += part.length;
    if (this.#lineBytes > this.maxLineBytes) {
      throw new PeerProtocolError(
        `Cannot read a line from the peer: longer than ${this.maxLineBytes} bytes`,
      );
    }
    if (part.length > 0) {
      this.#chunks.push(part);
    }
  }
}
