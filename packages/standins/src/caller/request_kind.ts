/**
 * The mix of requests that callers send in each deployment.
 *
 * @module
 */

import type { DeploymentName } from "../presets.ts";

/** Under which condition a request may be sent again. */
export type RetryRule =
  | "idempotent"
  /** Runs at most once; it may be sent again with its idempotency key. */
  | "keyed"
  /** Runs at most once and has no key; it must not be sent again. */
  | "unkeyed";

/** One kind of request. */
export interface RequestKind {
  readonly name: string;
  readonly method: "GET" | "POST";
  /** Path; the caller appends a segment that identifies the request. */
  readonly path: string;
  readonly repeat: RetryRule;
  /** Relative frequency in the mix. */
  readonly weight: number;
  readonly bodyBytes: number;
  readonly responseBytes: number;
  /** Duration of the work on a warm target. */
  readonly workMs: number;
}

/** The kinds of requests that the callers of each deployment send. */
export const MIXES: Readonly<Record<DeploymentName, readonly RequestKind[]>> = {
  hlasovka: [
    idempotentKind("draft", "/drafts", { weight: 60, responseBytes: 20_000 }),
    idempotentKind("past-comments", "/comments", {
      weight: 20,
      responseBytes: 8_000,
    }),
    atMostOnceKind("comment", "/comments", { weight: 10, repeat: "keyed" }),
    atMostOnceKind("comment-unkeyed", "/comments", {
      weight: 2,
      repeat: "unkeyed",
    }),
    atMostOnceKind("objection", "/objections", { weight: 8, repeat: "keyed" }),
  ],
  kinolenta: [
    idempotentKind("playlist", "/playlists", {
      weight: 50,
      responseBytes: 40_000,
    }),
    idempotentKind("slots", "/slots", { weight: 20, responseBytes: 8_000 }),
    atMostOnceKind("booking", "/bookings", { weight: 15, repeat: "keyed" }),
    atMostOnceKind("booking-unkeyed", "/bookings", {
      weight: 2,
      repeat: "unkeyed",
    }),
    atMostOnceKind("purchase", "/purchases", { weight: 13, repeat: "keyed" }),
  ],
};

function idempotentKind(
  name: string,
  path: string,
  { weight, responseBytes: responseBytes }: {
    weight: number;
    responseBytes: number;
  },
): RequestKind {
  return {
    name,
    method: "GET",
    path,
    repeat: "idempotent",
    weight,
    bodyBytes: 0,
    responseBytes,
    workMs: 30,
  };
}

function atMostOnceKind(
  name: string,
  path: string,
  { weight, repeat }: { weight: number; repeat: RetryRule },
): RequestKind {
  return {
    name,
    method: "POST",
    path,
    repeat,
    weight,
    bodyBytes: 2_000,
    responseBytes: 500,
    workMs: 60,
  };
}
