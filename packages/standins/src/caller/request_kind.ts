/**
 * The mix of requests that callers send, by deployment.
 *
 * @module
 */

import type { DeploymentName } from "../presets.ts";

/** How a request may be sent again. */
export type Repeat =
  | "idempotent"
  /** At most once, with an idempotency key. */
  | "keyed"
  /** At most once, without a key. */
  | "unkeyed";

/** One kind of request. */
export interface RequestKind {
  readonly name: string;
  readonly method: "GET" | "POST";
  /** Path; the caller adds a number of its own. */
  readonly path: string;
  readonly repeat: Repeat;
  /** Weight in the mix. */
  readonly weight: number;
  readonly bodyBytes: number;
  readonly answerBytes: number;
  /** Time that the work takes on a warm target, in milliseconds. */
  readonly workMs: number;
}

/** The kinds of requests that callers of a deployment send. */
export const MIXES: Readonly<Record<DeploymentName, readonly RequestKind[]>> = {
  hlasovka: [
    read("draft", "/drafts", { weight: 60, answerBytes: 20_000 }),
    read("past-comments", "/comments", { weight: 20, answerBytes: 8_000 }),
    order("comment", "/comments", { weight: 10, repeat: "keyed" }),
    order("comment-unkeyed", "/comments", { weight: 2, repeat: "unkeyed" }),
    order("objection", "/objections", { weight: 8, repeat: "keyed" }),
  ],
  kinolenta: [
    read("playlist", "/playlists", { weight: 50, answerBytes: 40_000 }),
    read("slots", "/slots", { weight: 20, answerBytes: 8_000 }),
    order("booking", "/bookings", { weight: 15, repeat: "keyed" }),
    order("booking-unkeyed", "/bookings", { weight: 2, repeat: "unkeyed" }),
    order("purchase", "/purchases", { weight: 13, repeat: "keyed" }),
  ],
};

function read(
  name: string,
  path: string,
  { weight, answerBytes }: { weight: number; answerBytes: number },
): RequestKind {
  return {
    name,
    method: "GET",
    path,
    repeat: "idempotent",
    weight,
    bodyBytes: 0,
    answerBytes,
    workMs: 30,
  };
}

function order(
  name: string,
  path: string,
  { weight, repeat }: { weight: number; repeat: Repeat },
): RequestKind {
  return {
    name,
    method: "POST",
    path,
    repeat,
    weight,
    bodyBytes: 2_000,
    answerBytes: 500,
    workMs: 60,
  };
}
