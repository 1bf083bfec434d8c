/**
 * An output stream that never makes its writer wait: it drops lines instead.
 *
 * @module
 */

import { Writable } from "node:stream";

/**
 * Most bytes to buffer for the reader of the log. When the reader stalls, Node would
 * buffer every line, and the daemon would run out of memory while it serves. At
 * 400 bytes a line this limit holds some 2,500 lines.
 */
const MAX_BUFFERED_BYTES = 1_048_576;

/** Forwards lines while their reader keeps up, and counts those that it drops. */
export class BoundedOutput extends Writable {
  readonly #output: Writable;
  #droppedLines = 0;

  constructor(output: Writable) {
    super({ decodeStrings: false });
    this.#output = output;
    // Without a handler, a reader that closes its end would end the daemon.
    output.on("error", () => undefined);
  }

  /** Number of lines dropped so far. */
  get droppedLines(): number {
    return this.#droppedLines;
  }

  override _write(
    line: string | Uint8Array,
    _encoding: string,
    done: () => void,
  ): void {
    if (this.#output.writableLength > MAX_BUFFERED_BYTES) {
      this.#droppedLines += 1;
    } else {
      this.#output.write(line);
    }
    done();
  }
}
