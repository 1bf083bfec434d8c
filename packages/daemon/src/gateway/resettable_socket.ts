/**
 * A TCP socket that tells a reset connection from one that has ended, in both directions.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { Socket } from "node:net";

const NO_BYTES = Buffer.alloc(0);

/** See the module comment. */
export class ResettableSocket extends Socket {
  /** For how long the end by the other side is withheld after what was written last, in milliseconds; asked when it arrives. */
  endDelayMs: () => number = () => 0;
  #resetError: Error | null = null;
  #endIsWithheld = false;
  #endTimer: NodeJS.Timeout | undefined;

  constructor() {
    // Else Node replaces `write` before the listeners of `end` are called.
    super({ allowHalfOpen: true });
  }

  /**
   * Whether the other side has reset the connection; called in a listener of `end`. A
   * reset that arrives together with data is reported as an end, but fails any write.
   */
  checkReset(): boolean {
    this.write(NO_BYTES);
    return this.errored !== null;
  }

  /**
   * Resets the connection; the socket's users get `err`. Node's `resetAndDestroy` gives
   * them none, which they take for the end of what the other side sent.
   */
  reset(err: Error): void {
    this.#resetError = err;
    this.resetAndDestroy();
  }

  override push(chunk: unknown, encoding?: BufferEncoding): boolean {
    const delayMs = chunk === null && !this.#endIsWithheld
      ? this.endDelayMs()
      : 0;
    if (delayMs === 0) {
      return super.push(chunk, encoding);
    }
    this.#endIsWithheld = true;
    this.#withholdEnd(delayMs);
    return false;
  }

  /** Until nothing has been written for `delayMs`: what was written may yet be answered with a reset. */
  #withholdEnd(delayMs: number): void {
    const { bytesWritten } = this;
    this.#endTimer = setTimeout(() => {
      if (this.bytesWritten !== bytesWritten) {
        this.#withholdEnd(delayMs);
        return;
      }
      this.#endIsWithheld = false;
      super.push(null);
    }, delayMs);
  }

  override _read(size: number): void {
    // Reading on would only meet the end again.
    if (!this.#endIsWithheld) {
      super._read(size);
    }
  }

  override _destroy(
    err: Error | null,
    callback: (err?: Error | null) => void,
  ): void {
    clearTimeout(this.#endTimer);
    super._destroy(err ?? this.#resetError, callback);
  }
}
