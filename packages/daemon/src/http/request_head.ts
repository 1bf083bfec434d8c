/**
 * Reads the header of a caller's request once: what the daemon needs of it,
 * and the header lines that go on to the target.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { CallerId, IdempotencyKey } from "@poplarthread/ids";
import { dropConnectionHeaders, HOP_BY_HOP_HEADERS } from "./hop_by_hop.ts";
import { DEADLINE_HEADER, HOPS_HEADER, KEY_HEADER } from "./names.ts";

/** Longest idempotency key; keys end up in the table. */
const MAX_KEY_LENGTH = 256;
/** Longest caller name that is kept; names end up in counters. */
const MAX_CALLER_LENGTH = 128;
/**
 * Entry VMs that one request may pass. Requests go from an entry VM to a
 * target; a second VM on the way already means a wrong address somewhere.
 */
const MAX_HOPS = 3;

/** Who is reading: what goes into the lines that a proxy adds. */
export interface HeadOptions {
  /** Name of this VM, in `via`. */
  readonly vm: string;
  /** Lower-case header that names the caller. */
  readonly callerHeader: string;
}

/** Why a request cannot be steered at all; nothing of it was run. */
export interface BadRequest {
  readonly kind: "bad-request";
  readonly status: 400 | 508;
  readonly reason: string;
}

/** What the header says. */
export interface RequestHead {
  readonly kind: "head";
  /** Lines for the target, name and value in turn. */
  readonly lines: string[];
  /** Bytes of the body; -1 where the header does not say. */
  readonly contentLength: number;
  readonly chunked: boolean;
  readonly key: IdempotencyKey | undefined;
  /** Milliseconds that the caller gives; undefined where it names none. */
  readonly deadlineMs: number | undefined;
  readonly caller: CallerId;
}

function bad(reason: string, status: 400 | 508 = 400): BadRequest {
  return { kind: "bad-request", status, reason };
}

/** Reads the header of `req`. */
export function readHead(
  req: IncomingMessage,
  options: HeadOptions,
): RequestHead | BadRequest {
  const raw = req.rawHeaders;
  const lines: string[] = [];
  let contentLength = -1;
  let chunked = false;
  let key: string | undefined;
  let deadlineMs: number | undefined;
  let hops = 0;
  let caller: string | undefined;
  let via = "";
  let forwarded = "";
  let connection = "";
  for (let at = 0; at < raw.length; at += 2) {
    const name = raw[at]!.toLowerCase();
    const value = raw[at + 1]!;
    switch (name) {
      case "content-length":
        contentLength = Number(value);
        break;
      case "transfer-encoding":
        chunked = true;
        continue;
      case "connection":
        connection += `,${value}`;
        continue;
      case "via":
        via += `${value}, `;
        continue;
      case "forwarded":
        forwarded += `${value}, `;
        continue;
      case HOPS_HEADER:
        hops = Number(value);
        continue;
      case DEADLINE_HEADER:
        deadlineMs = Number(value);
        continue;
      case KEY_HEADER:
        if (key !== undefined && key !== value) {
          return bad("two idempotency keys");
        }
        key = value;
        break;
      default:
        // `expect` is answered by this listener; a target must not answer it again.
        if (HOP_BY_HOP_HEADERS.has(name) || name === "expect") {
          continue;
        }
        if (name === options.callerHeader) {
          caller = value;
        }
    }
    lines.push(name, value);
  }
  if (deadlineMs !== undefined && !(deadlineMs >= 1)) {
    return bad(`${DEADLINE_HEADER} must be a number of at least 1`);
  }
  if (key !== undefined && (key === "" || key.length > MAX_KEY_LENGTH)) {
    return bad(`${KEY_HEADER} must have 1 to ${MAX_KEY_LENGTH} characters`);
  }
  if (!Number.isInteger(hops) || hops < 0) {
    return bad(`${HOPS_HEADER} must be a whole number`);
  }
  if (hops >= MAX_HOPS || passedBefore(via, options.vm)) {
    return bad("the request goes round in a loop", 508);
  }
  const address = req.socket.remoteAddress ?? "unknown";
  const kept = dropConnectionHeaders(lines, connection);
  kept.push(
    "via",
    `${via}1.1 ${options.vm}`,
    "forwarded",
    `${forwarded}for=${forwardedNode(address)};by=_${options.vm}`,
    HOPS_HEADER,
    String(hops + 1),
  );
  return {
    kind: "head",
    lines: kept,
    contentLength,
    chunked,
    key: key as IdempotencyKey | undefined,
    deadlineMs,
    caller: (caller ?? address).slice(0, MAX_CALLER_LENGTH) as CallerId,
  };
}

/** Whether `via` names this VM: then the request came back to it. */
function passedBefore(via: string, vm: string): boolean {
  return via !== "" &&
    via.split(",").some((hop) => hop.trim().split(/\s+/)[1] === vm);
}

function forwardedNode(address: string): string {
  return address.includes(":") ? `"[${address}]"` : address;
}
