/**
 * Output that never makes its writer wait.
 *
 * @module
 */

import { Writable } from "node:stream";

/**
 * Bytes that may wait for a reader. Whoever reads the log may stop reading while
 * the daemon serves; Node would keep all lines in memory, and the daemon would end
 * for want of it. At 400 bytes a line this holds some 2,500 lines.
 */
const MOST_WAITING_BYTES = 1_048_576;

/** Passes lines on while their reader keeps up, and counts those it drops. */
export class BoundedOutput extends Writable {
  readonly #output: Writable;
  #dropped = 0;

  constructor(output: Writable) {
    super({ decodeStrings: false });
    this.#output = output;
    // A reader that goes away must not end the daemon.
    output.on("error", () => undefined);
  }

  /** Lines that were dropped. */
  get dropped(): number {
    return this.#dropped;
  }

  override _write(
    line: string | Uint8Array,
    _encoding: string,
    done: () => void,
  ): void {
    if (this.#output.writableLength > MOST_WAITING_BYTES) {
      this.#dropped += 1;
    } else {
      this.#output.write(line);
    }
    done();
  }
}
