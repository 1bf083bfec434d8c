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
  #resetError: Error | null = null;

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

  override _destroy(
    err: Error | null,
    callback: (err?: Error | null) => void,
  ): void {
    super._destroy(err ?? this.#resetError, callback);
  }
}
