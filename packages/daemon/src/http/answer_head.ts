/**
 * Reads the header of a target's answer once: what the daemon learns from it,
 * and the lines that go on to the caller.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import { dropConnectionHeaders, HOP_BY_HOP_HEADERS } from "./hop_by_hop.ts";
import { LEAVING_HEADER, NOT_RUN_HEADER, OUTCOME_HEADER } from "./names.ts";

/** What the header says. */
export interface AnswerHead {
  /** Lines for the caller, name and value in turn. */
  readonly lines: string[];
  /** Bytes of the body; -1 where the header does not say. */
  readonly contentLength: number;
  /** The target says that it refused before running. */
  readonly notRun: boolean;
  /** The target says that it is draining. */
  readonly leaving: boolean;
  /** Milliseconds until the target wants to be asked again; 0 where unsaid. */
  readonly retryAfterMs: number;
}

/** Reads the raw header lines of an answer, as undici hands them over. */
export function readAnswerHead(raw: readonly Buffer[]): AnswerHead {
  const lines: string[] = [];
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
      // Only this listener may vouch for what became of the request.
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
    lines.push(name, value);
  }
  return {
    lines: dropConnectionHeaders(lines, connection),
    contentLength,
    notRun,
    leaving,
    retryAfterMs,
  };
}
