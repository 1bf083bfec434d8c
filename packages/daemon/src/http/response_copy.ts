/**
 * Copies a response, up to a size limit, so that it can be replayed to repeats
 * of a keyed request.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { RunOutcome } from "@poplarthread/coordination";

/** Collects one response while it is passed on. */
export class ResponseCopy {
  readonly #status: number;
  readonly #headers: (readonly [string, string])[] = [];
  readonly #limitBytes: number;
  #chunks: Buffer[] = [];
  #bytes = 0;

  /** `rawHeaders` are the headers as alternating names and values. */
  constructor(
    status: number,
    rawHeaders: readonly string[],
    limitBytes: number,
  ) {
    this.#status = status;
    this.#limitBytes = limitBytes;
    for (let at = 0; at < rawHeaders.length; at += 2) {
      this.#headers.push([rawHeaders[at]!, rawHeaders[at + 1]!]);
    }
  }

  add(chunk: Buffer): void {
    this.#bytes += chunk.length;
    if (this.#bytes <= this.#limitBytes) {
      this.#chunks.push(chunk);
    } else {
      this.#chunks = [];
    }
  }

  /** The outcome to store; call it once the response is complete. */
  outcome(): RunOutcome {
    const status = this.#status;
    if (this.#bytes > this.#limitBytes) {
      return { kind: "answered-unkept", status };
    }
    const bodyBase64 = Buffer.concat(this.#chunks).toString("base64");
    const answer = { status, headers: this.#headers, bodyBase64 };
    return { kind: "answered", answer };
  }
}
