/**
 * Fair queueing of client accounts.
 *
 * @module
 */

import fc from "fast-check";
import { describe, expect, test } from "vitest";
import type { AccountId } from "@poplarthread/ids";
import { type QueuedRequest, WaitQueue } from "./wait_queue.ts";

const NEVER_LATE = 1_000_000;

interface Named extends QueuedRequest {
  readonly name: string;
}

function request(account: string | undefined, name: string): Named {
  return {
    priority: 0,
    objectiveAt: NEVER_LATE,
    account: account as AccountId | undefined,
    name,
  };
}

function names(queue: WaitQueue<Named>): readonly string[] {
  return queue.inOrder(0).map(({ name }) => name);
}

describe("client accounts", () => {
  test("alternate, however many requests one of them has queued", () => {
    // One account sends a hundred requests at once. In order of arrival, the only
    // request of another account would wait for all of them, and its caller would
    // give up.
    const queue = new WaitQueue<Named>();
    for (let at = 0; at < 100; at++) {
      queue.add(request("busy", `busy-${at}`));
    }
    queue.add(request("small", "small-0"));
    expect(names(queue).indexOf("small-0")).toBeLessThan(3);
  });

  test("keep their positions when requests leave out of order", () => {
    const queue = new WaitQueue<Named>();
    const busy = Array.from(
      { length: 50 },
      (_, at) => request("busy", `busy-${at}`),
    );
    busy.forEach((one) => queue.add(one));
    queue.remove(busy.at(-1)!);
    queue.add(request("small", "small-0"));
    expect(names(queue).indexOf("small-0")).toBeLessThan(3);
  });

  test("with a tenth of another's load have all requests served at twice the capacity", () => {
    const queue = new WaitQueue<Named>();
    const served = new Map<string, number>();
    const asked = new Map<string, number>();
    const add = (account: string) => {
      asked.set(account, (asked.get(account) ?? 0) + 1);
      queue.add(request(account, account));
    };
    for (let round = 0; round < 400; round++) {
      add("busy");
      add("busy");
      if (round % 5 === 0) {
        add("small");
      }
      const [next] = queue.inOrder(0);
      queue.remove(next!);
      served.set(next!.name, (served.get(next!.name) ?? 0) + 1);
    }
    expect(served.get("small")).toBeGreaterThanOrEqual(
      asked.get("small")! - 2,
    );
  });

  test("are served in order of arrival if there is only one, or none", () => {
    fc.assert(fc.property(
      fc.constantFrom("one", undefined),
      fc.array(fc.constantFrom("add", "first", "last"), { maxLength: 40 }),
      (account, steps) => {
        const queue = new WaitQueue<Named>();
        const expected: Named[] = [];
        steps.forEach((step, at) => {
          if (step === "add") {
            const one = request(account, String(at));
            queue.add(one);
            expected.push(one);
            return;
          }
          const gone = step === "first" ? expected.shift() : expected.pop();
          if (gone !== undefined) {
            queue.remove(gone);
          }
        });
        expect(queue.inOrder(0)).toEqual(expected);
      },
    ));
  });
});
