/**
 * An output stream that never makes its writer wait: it drops lines instead.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { writeSync } from "node:fs";
import { Writable } from "node:stream";

/**
 * Most bytes to buffer for the reader of the log. When the reader stalls, Node would
 * buffer every line, and the daemon would run out of memory while it serves. At
 * 400 bytes a line this limit holds some 2,500 lines.
 */
const MAX_BUFFERED_BYTES = 1_048_576;

/** Longest wait for a stalled reader before the last lines of a process. */
const MAX_LAST_LINES_WAIT_MS = 100;

/** Forwards lines while their reader keeps up, and counts those that it drops. */
export class BoundedOutput extends Writable {
  readonly #output: Writable;
  #droppedLines = 0;
  #isEnding = false;

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

  /** From now on each line is written before its writer goes on: the process is about to end. */
  beginEnd(): void {
    this.#isEnding = true;
  }

  override _write(
    line: string | Uint8Array,
    _encoding: string,
    done: () => void,
  ): void {
    const { fd } = this.#output as { fd?: unknown };
    if (this.#isEnding && typeof fd === "number") {
      // What is buffered is lost, and the line that was being written is cut.
      const separator = this.#output.writableLength > 0 ? "\n" : "";
      writeAll(fd, Buffer.from(separator + String(line)));
    } else if (this.#output.writableLength > MAX_BUFFERED_BYTES) {
      this.#droppedLines += 1;
    } else {
      this.#output.write(line);
    }
    done();
  }
}

/** Writes what its reader takes; a pipe that is full is tried again for a moment. */
function writeAll(fd: number, bytes: Buffer): void {
  const endsAt = performance.now() + MAX_LAST_LINES_WAIT_MS;
  for (let at = 0; at < bytes.length && performance.now() < endsAt;) {
    try {
      at += writeSync(fd, bytes, at);
    } catch (err) {
      if ((err as NodeJS.ErrnoException).code !== "EAGAIN") {
        return;
      }
    }
  }
}
