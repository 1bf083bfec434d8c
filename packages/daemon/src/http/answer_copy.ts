/**
 * A copy of an answer for repeats of a keyed request, up to a bound.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { RunOutcome } from "@poplarthread/coordination";

/** Collects one answer. */
export class AnswerCopy {
  readonly #status: number;
  readonly #headers: (readonly [string, string])[] = [];
  readonly #limitBytes: number;
  #chunks: Buffer[] = [];
  #bytes = 0;

  /** `lines` are the header lines, name and value in turn. */
  constructor(status: number, lines: readonly string[], limitBytes: number) {
    this.#status = status;
    this.#limitBytes = limitBytes;
    for (let at = 0; at < lines.length; at += 2) {
      this.#headers.push([lines[at]!, lines[at + 1]!]);
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

  /** How the run ended, once the whole answer has come. */
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
