/**
 * A request of an operator that is answered with an error status.
 *
 * @module
 */

import type { Finding } from "@poplarthread/config";

/** Thrown by handlers; the listener turns it into an answer. */
export class HttpError extends Error {
  override readonly name = "HttpError";
  readonly status: number;
  readonly findings: readonly Finding[] | undefined;

  constructor(status: number, message: string, findings?: readonly Finding[]) {
    super(message);
    this.status = status;
    this.findings = findings;
  }
}
