/**
 * Reads the headers of a target's response in one pass: the values that the
 * daemon uses, and the headers that are forwarded to the caller.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import { dropConnectionHeaders, HOP_BY_HOP_HEADERS } from "./hop_by_hop.ts";
import { LEAVING_HEADER, NOT_RUN_HEADER, OUTCOME_HEADER } from "./names.ts";

/** Contents of the response headers. */
export interface ResponseHead {
  /** Headers for the caller, as alternating names and values. */
  readonly rawHeaders: string[];
  /** Length of the body in bytes; -1 without `content-length`. */
  readonly contentLength: number;
  /** The target reports that it refused the request without running it. */
  readonly notRun: boolean;
  /** The target reports that it is draining. */
  readonly leaving: boolean;
  /** Back-off that the target asks for in `retry-after`; 0 without one. */
  readonly retryAfterMs: number;
}

/** Reads a response's raw headers as undici passes them. */
export function readResponseHead(raw: readonly Buffer[]): ResponseHead {
  const rawHeaders: string[] = [];
  let contentLength = -1;
  let notRun = false;
  let leaving = false;
  let retryAfterMs = 0;
  let connection = "";
  for (let at = 0; at < raw.length; at += 2) {
    const name = raw[at]!.toString("latin1").toLowerCase();
    const value = raw[at + 1]!.toString("latin1");
    switch (name) {
      case "connection":
        connection += `,${value}`;
        continue;
      // Only this listener may state the outcome of the request to the caller.
      case OUTCOME_HEADER:
        continue;
      case NOT_RUN_HEADER:
        notRun = value === "1";
        continue;
      case LEAVING_HEADER:
        leaving = value === "1";
        continue;
      case "retry-after":
        retryAfterMs = Number(value) * 1_000 || 0;
        break;
      case "content-length":
        contentLength = Number(value);
        break;
      default:
        if (HOP_BY_HOP_HEADERS.has(name)) {
          continue;
        }
    }
    rawHeaders.push(name, value);
  }
  return {
    rawHeaders: dropConnectionHeaders(rawHeaders, connection),
    contentLength,
    notRun,
    leaving,
    retryAfterMs,
  };
}
