/**
 * What becomes of a forwarded request that another VM replies to itself.
 *
 * @module
 */

import { expect, test } from "vitest";
import { LOCAL_REPLY_HEADER, type LocalReplyReason } from "../local_reply.ts";
import type { CallerRequest, TargetResponse } from "../ports.ts";
import type { ForwardAttempt, Forwarding } from "./forwarding.ts";
import {
  type ForwardingExchange,
  RequestForwards,
} from "./request_forwards.ts";

const ATTEMPT = {} as ForwardAttempt;
const FORWARDING = { ended: () => undefined } as unknown as Forwarding;

/** What the exchange is told when another VM replies for `reason`. */
function afterReply(reason: LocalReplyReason): readonly unknown[] {
  const calls: unknown[] = [];
  const exchange: Partial<ForwardingExchange> = {
    ended: (_, handle) => handle(0),
    didNotRun: () => void calls.push("did not run"),
    requeue: () => void calls.push("requeue"),
    refuse: (reply) => void calls.push(reply),
  };
  const forwards = new RequestForwards(FORWARDING, {
    request: {} as CallerRequest,
    method: "GET",
    url: "/read/x",
    regions: [],
  }, exchange as ForwardingExchange);
  const response = {
    status: 503,
    rawHeaders: [LOCAL_REPLY_HEADER, reason, "retry-after", "0.665"],
  } as Partial<TargetResponse> as TargetResponse;
  forwards.attemptEnded(ATTEMPT, { kind: "answered", response, body: [] });
  return calls;
}

test.each(["not-ready", "no-target", "leaving"] as const)(
  "a request that another VM refuses as %s is forwarded to the next one",
  (reason) => {
    expect(afterReply(reason)).toEqual(["did not run", "requeue"]);
  },
);

// Callers of a VM without links would get room that other callers are refused.
test.each(
  ["overload", "read-late", "over-quota", "refused-by-targets"] as const,
)(
  "a request that another VM refuses as %s is refused with its Retry-After",
  (reason) => {
    expect(afterReply(reason)).toEqual([
      "did not run",
      { reason, retryAfterMs: 665 },
    ]);
  },
);

test.each(["broken", "timeout"] as const)(
  "a request that another VM ends as %s is not said not to have run",
  (reason) => {
    expect(afterReply(reason)).toEqual([{ reason, retryAfterMs: 665 }]);
  },
);
