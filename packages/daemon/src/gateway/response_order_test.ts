/**
 * Which requests a planned stop holds up or gives up for the order of responses.
 *
 * @module
 */

import { expect, test } from "vitest";
import {
  isBehindUntil,
  type OrderedRequest,
  releaseReady,
} from "./response_order.ts";

type State = "ready" | "open" | "streaming";

const CUT_AT = 5_500;

/** A request that ends at `endsAt`, and tells whether it was given up. */
class TestRequest implements OrderedRequest {
  readonly #state: State;
  readonly #endsAt: number;
  isGivenUp = false;

  constructor(state: State, endsAt = Infinity) {
    this.#state = state;
    this.#endsAt = endsAt;
  }

  get isReady(): boolean {
    return this.#state === "ready";
  }

  get isStreaming(): boolean {
    return this.#state === "streaming";
  }

  mayLastUntil(time: number): boolean {
    return !this.isReady && this.#endsAt > time;
  }

  giveUpForStop(): void {
    this.isGivenUp = true;
  }
}

test("a request is behind an earlier one that may last, not behind a later one", () => {
  const [ready, short, long, last] = [
    new TestRequest("ready"),
    new TestRequest("open", CUT_AT - 1),
    new TestRequest("open", CUT_AT + 1),
    new TestRequest("open"),
  ] as const;
  const open = new Set([ready, short, long, last]);
  const isBehind = (request: TestRequest) =>
    isBehindUntil(CUT_AT, request, open);
  expect([ready, short, long, last].map(isBehind))
    .toEqual([false, false, false, true]);
});

test.each<[readonly State[], readonly boolean[]]>([
  [["open"], [false]],
  [["open", "open"], [false, false]],
  [["ready", "open"], [false, false]],
  [["open", "ready"], [true, false]],
  [["open", "ready", "open"], [true, false, false]],
  [["open", "open", "ready", "open"], [true, true, false, false]],
  // Nothing may follow the part of a response that has been written.
  [["streaming", "ready"], [false, false]],
  [["open", "streaming", "ready"], [false, false, false]],
])(
  "of %j those are given up that hold back a ready response",
  (states, expected) => {
    const requests = states.map((state) => new TestRequest(state));
    releaseReady(new Set(requests));
    expect(requests.map(({ isGivenUp }) => isGivenUp)).toEqual(expected);
  },
);
