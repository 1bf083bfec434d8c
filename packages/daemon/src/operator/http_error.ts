/**
 * The error that makes an operator's request fail with an HTTP status.
 *
 * @module
 */

import type { Finding } from "@poplarthread/config";

/** Thrown by handlers; the listener converts it into an error response. */
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
