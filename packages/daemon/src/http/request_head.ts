/**
 * Reads the headers of a caller's request in one pass: the values that the
 * daemon uses, and the headers that are forwarded to the target.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { CallerId, IdempotencyKey } from "@poplarthread/ids";
import { dropConnectionHeaders, HOP_BY_HOP_HEADERS } from "./hop_by_hop.ts";
import { DEADLINE_HEADER, HOPS_HEADER, KEY_HEADER } from "./names.ts";

/** Longest idempotency key, in characters; limited because keys are stored in the table. */
const MAX_KEY_LENGTH = 256;
/** Longer caller names are truncated, because counters are kept by caller name. */
const MAX_CALLER_LENGTH = 128;
/**
 * Number of entry VMs that one request may pass through. Requests go from one
 * entry VM to a target, so a second VM already means a misconfigured address.
 */
const MAX_HOPS = 3;

/** Values for the headers that this proxy reads and adds. */
export interface HeadOptions {
  /** Name of this VM, in `via`. */
  readonly vm: string;
  /** Name of the header that identifies the caller, in lower case. */
  readonly callerHeader: string;
}

/** Why a request is rejected before routing; it was not run. */
export interface BadRequest {
  readonly kind: "bad-request";
  readonly status: 400 | 508;
  readonly reason: string;
}

/** Contents of the request headers. */
export interface RequestHead {
  readonly kind: "head";
  /** Headers for the target, as alternating names and values. */
  readonly rawHeaders: string[];
  /** Length of the body in bytes; -1 without `content-length`. */
  readonly contentLength: number;
  readonly chunked: boolean;
  readonly key: IdempotencyKey | undefined;
  /** Time that the caller allows; undefined if it sets no deadline. */
  readonly deadlineMs: number | undefined;
  readonly caller: CallerId;
}

function badRequest(reason: string, status: 400 | 508 = 400): BadRequest {
  return { kind: "bad-request", status, reason };
}

/** Reads the headers of `req`. */
export function readHead(
  req: IncomingMessage,
  options: HeadOptions,
): RequestHead | BadRequest {
  const rawRequestHeaders = req.rawHeaders;
  const rawHeaders: string[] = [];
  let contentLength = -1;
  let chunked = false;
  let key: string | undefined;
  let deadlineMs: number | undefined;
  let hops = 0;
  let caller: string | undefined;
  let via = "";
  let forwarded = "";
  let connection = "";
  for (let at = 0; at < rawRequestHeaders.length; at += 2) {
    const name = rawRequestHeaders[at]!.toLowerCase();
    const value = rawRequestHeaders[at + 1]!;
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
          return badRequest("the request has two different idempotency keys");
        }
        key = value;
        break;
      default:
        // This listener answers `expect`; a target must not answer it again.
        if (HOP_BY_HOP_HEADERS.has(name) || name === "expect") {
          continue;
        }
        if (name === options.callerHeader) {
          caller = value;
        }
    }
    rawHeaders.push(name, value);
  }
  if (deadlineMs !== undefined && !(deadlineMs >= 1)) {
    return badRequest(`${DEADLINE_HEADER} must be a number of at least 1`);
  }
  if (key !== undefined && (key === "" || key.length > MAX_KEY_LENGTH)) {
    return badRequest(
      `${KEY_HEADER} must have 1 to ${MAX_KEY_LENGTH} characters`,
    );
  }
  if (!Number.isInteger(hops) || hops < 0) {
    return badRequest(`${HOPS_HEADER} must be a non-negative integer`);
  }
  if (hops >= MAX_HOPS || hasPassedThrough(via, options.vm)) {
    return badRequest("the request is in a proxy loop", 508);
  }
  const address = req.socket.remoteAddress ?? "unknown";
  const targetHeaders = dropConnectionHeaders(rawHeaders, connection);
  targetHeaders.push(
    "via",
    `${via}1.1 ${options.vm}`,
    "forwarded",
    `${forwarded}for=${forwardedNode(address)};by=_${options.vm}`,
    HOPS_HEADER,
    String(hops + 1),
  );
  return {
    kind: "head",
    rawHeaders: targetHeaders,
    contentLength,
    chunked,
    key: key as IdempotencyKey | undefined,
    deadlineMs,
    caller: (caller ?? address).slice(0, MAX_CALLER_LENGTH) as CallerId,
  };
}

/** Whether `via` names this VM, so that the request has returned to it. */
function hasPassedThrough(via: string, vm: string): boolean {
  return via !== "" &&
    via.split(",").some((hop) => hop.trim().split(/\s+/)[1] === vm);
}

function forwardedNode(address: string): string {
  return address.includes(":") ? `"[${address}]"` : address;
}
