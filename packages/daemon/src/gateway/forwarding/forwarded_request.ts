/**
 * What one VM tells another in the header of a request that it forwards, and what the
 * other one tells it in the header of a reply of its own.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { KeyDigest } from "@poplarthread/ids";
import * as z from "zod";
import type { Credential } from "../accounts/client_account.ts";
import {
  isLocalReplyReason,
  LOCAL_REPLY_HEADER,
  type LocalReplyReason,
} from "../local_reply.ts";

import type { CallerRequest, Dialect } from "../ports.ts";

/** On a request from another VM: a {@link ForwardedRequest} as JSON. */
export const FORWARDED_HEADER = "poplarthread-forwarded";

/** What the forwarding VM knows of the request besides its headers and body. */
export interface ForwardedRequest {
  /** Version of the configuration in force on the forwarding VM. */
  readonly version: number;
  /** The store's history that the operator's rows there belong to; 0 if not given. */
  readonly era: number;
  /** Time since the request arrived at the forwarding VM. */
  readonly elapsedMs: number;
  /** Time left until its deadline. */
  readonly remainingMs: number;
  /** Attempts already made: the limit on attempts holds over both VMs. */
  readonly attempts: number;
  /** What tells the caller apart from others. Older versions of the program don't send this field. */
  readonly caller?: string | undefined;
  /** The sender's credential, which was not among the headers for targets. */
  readonly credential: Credential;
}

const credentialSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("none") }),
  z.object({ kind: z.literal("key"), digest: z.string() }),
  z.object({ kind: z.literal("several") }),
  z.object({ kind: z.literal("other-scheme") }),
]);

const schema = z.object({
  version: z.number(),
  /** Left out by older versions of the program. */
  era: z.number().default(0),
  elapsedMs: z.number().min(0),
  remainingMs: z.number().positive(),
  attempts: z.number().int().min(0),
  caller: z.string().optional(),
  credential: credentialSchema,
});

/** The version of a configuration, and the history of the store that the rows belong to. */
export type ConfigurationAge = Pick<ForwardedRequest, "version" | "era">;

/**
 * Whether a VM may stand at an earlier configuration than the one that forwards a request
 * to it. Versions are ordered within one history of the store: after a restore from a
 * copy the operator may go on with lower ones.
 */
export function isBehind(
  own: ConfigurationAge,
  sender: ConfigurationAge,
): boolean {
  if (sender.era === 0 || own.era === sender.era) {
    return own.version < sender.version;
  }
  return own.era < sender.era && own.version !== sender.version;
}

/** Encodes the header's value. */
export function encodeForwarded(request: ForwardedRequest): string {
  return JSON.stringify(request);
}

/** Decodes the header's value; undefined if it is missing or invalid. */
function decodeForwarded(
  value: string | readonly string[] | undefined,
): ForwardedRequest | undefined {
  if (typeof value !== "string") {
    return undefined;
  }
  const parsed = schema.safeParse(parseJson(value));
  if (!parsed.success) {
    return undefined;
  }
  const { credential, ...request } = parsed.data;
  return {
    ...request,
    credential: credential.kind === "key"
      ? { kind: "key", digest: credential.digest as KeyDigest }
      : credential,
  };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Reads a request that another VM forwards; undefined if it is malformed. */
export function readForwarded(
  req: IncomingMessage,
  dialect: Dialect,
  options: { readonly hasAccounts: boolean },
):
  | { readonly request: CallerRequest; readonly info: ForwardedRequest }
  | undefined {
  const info = decodeForwarded(req.headers[FORWARDED_HEADER]);
  const request = info && dialect.readRequest(req, options);
  if (info === undefined || request?.kind !== "request") {
    return undefined;
  }
  return {
    info,
    request: {
      ...request,
      rawHeaders: withoutHeader(request.rawHeaders, FORWARDED_HEADER),
      deadlineMs: info.elapsedMs + info.remainingMs,
      credential: info.credential,
    },
  };
}

/** A reply that the other VM made itself. */
export interface PeerReply {
  readonly reason: LocalReplyReason;
  /** When the caller may come back; undefined if the other VM did not say. */
  readonly retryAfterMs: number | undefined;
}

/**
 * Reads the other VM's own reply; undefined for a target's response. `rawHeaders` has names
 * in lower case and values alternating.
 */
export function readPeerReply(
  rawHeaders: readonly string[],
): PeerReply | undefined {
  const reason = valueOf(rawHeaders, LOCAL_REPLY_HEADER);
  if (reason === undefined) {
    return undefined;
  }
  const retryAfter = valueOf(rawHeaders, "retry-after");
  return {
    // Another version of the program may give a reason that this one doesn't know, and
    // `broken` promises nothing.
    reason: isLocalReplyReason(reason) ? reason : "broken",
    retryAfterMs: retryAfter === undefined
      ? undefined
      : 1_000 * Number(retryAfter),
  };
}

function valueOf(
  rawHeaders: readonly string[],
  name: string,
): string | undefined {
  const at = rawHeaders.findIndex((one, index) =>
    index % 2 === 0 && one === name
  );
  return at < 0 ? undefined : rawHeaders[at + 1];
}

/** Headers without one of them; names and values alternating. */
export function withoutHeader(
  rawHeaders: readonly string[],
  name: string,
): readonly string[] {
  const kept: string[] = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index] !== name) {
      kept.push(rawHeaders[index]!, rawHeaders[index + 1]!);
    }
  }
  return kept;
}
