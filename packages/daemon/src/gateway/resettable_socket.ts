/**
 * A TCP socket that can be reset with an error.
 *
 * @module
 */

import { Socket } from "node:net";

/**
 * See the module comment. Node's `resetAndDestroy` closes a socket without an error,
 * which its users take for the end of what the other side sent.
 */
export class ResettableSocket extends Socket {
  #resetError: Error | null = null;

  /** Resets the connection; the socket's users get `err`. */
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
