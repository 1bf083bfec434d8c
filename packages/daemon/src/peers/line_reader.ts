/**
 * Splits what arrives on a connection into lines, within a bound.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { PeerProtocolError } from "../errors.ts";

const NEWLINE = 0x0a;

/** Collects the pieces of one line until its end comes. */
export class LineReader {
  #pieces: Buffer[] = [];
  #length = 0;
  /** Longest line, in bytes; may be raised once the peer is known. */
  maxLength: number;

  constructor(maxLength: number) {
    this.maxLength = maxLength;
  }

  /** The lines that `chunk` ends. Throws {@link PeerProtocolError} past the bound. */
  read(chunk: Buffer): string[] {
    const lines: string[] = [];
    let start = 0;
    for (
      let end = chunk.indexOf(NEWLINE);
      end !== -1;
      end = chunk.indexOf(NEWLINE, start)
    ) {
      this.#add(chunk.subarray(start, end));
      lines.push(Buffer.concat(this.#pieces).toString("utf8"));
      this.#pieces = [];
      this.#length = 0;
      start = end + 1;
    }
    this.#add(chunk.subarray(start));
    return lines;
  }

  #add(piece: Buffer): void {
    this.#length += piece.length;
    if (this.#length > this.maxLength) {
      throw new PeerProtocolError(
        `Cannot read a line: over ${this.maxLength} bytes`,
      );
    }
    if (piece.length > 0) {
      this.#pieces.push(piece);
    }
  }
}
