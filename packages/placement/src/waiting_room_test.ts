/**
 * Turns of client accounts among requests that wait.
 *
 * @module
 */

import fc from "fast-check";
import { describe, expect, test } from "vitest";
import type { AccountId } from "@poplarthread/ids";
import { type Waiting, WaitingRoom } from "./waiting_room.ts";

const NEVER_LATE = 1_000_000;

interface Named extends Waiting {
  readonly name: string;
}

function request(account: string | undefined, name: string): Named {
  return {
    priority: 0,
    aimAt: NEVER_LATE,
    account: account as AccountId | undefined,
    name,
  };
}

function names(room: WaitingRoom<Named>): readonly string[] {
  return room.inOrder(0).map(({ name }) => name);
}

describe("client accounts", () => {
  test("take turns, however many requests one of them has waiting", () => {
    // One account sends a hundred requests at once. Served as they came, the one
    // request of another would wait for all of them, and its caller give up.
    const room = new WaitingRoom<Named>();
    for (let at = 0; at < 100; at++) {
      room.add(request("busy", `busy-${at}`));
    }
    room.add(request("small", "small-0"));
    expect(names(room).indexOf("small-0")).toBeLessThan(3);
  });

  test("keep their turns where requests leave out of order", () => {
    const room = new WaitingRoom<Named>();
    const busy = Array.from(
      { length: 50 },
      (_, at) => request("busy", `busy-${at}`),
    );
    busy.forEach((one) => room.add(one));
    room.remove(busy.at(-1)!);
    room.add(request("small", "small-0"));
    expect(names(room).indexOf("small-0")).toBeLessThan(3);
  });

  test("with a tenth of another's load are served as often as they ask, under twice the load that fits", () => {
    const room = new WaitingRoom<Named>();
    const served = new Map<string, number>();
    const asked = new Map<string, number>();
    const add = (account: string) => {
      asked.set(account, (asked.get(account) ?? 0) + 1);
      room.add(request(account, account));
    };
    for (let turn = 0; turn < 400; turn++) {
      add("busy");
      add("busy");
      if (turn % 5 === 0) {
        add("small");
      }
      const [next] = room.inOrder(0);
      room.remove(next!);
      served.set(next!.name, (served.get(next!.name) ?? 0) + 1);
    }
    expect(served.get("small")).toBeGreaterThanOrEqual(
      asked.get("small")! - 2,
    );
  });

  test("go as they came where there is only one, or none", () => {
    fc.assert(fc.property(
      fc.constantFrom("one", undefined),
      fc.array(fc.constantFrom("add", "first", "last"), { maxLength: 40 }),
      (account, steps) => {
        const room = new WaitingRoom<Named>();
        const expected: Named[] = [];
        steps.forEach((step, at) => {
          if (step === "add") {
            const one = request(account, String(at));
            room.add(one);
            expected.push(one);
            return;
          }
          const gone = step === "first" ? expected.shift() : expected.pop();
          if (gone !== undefined) {
            room.remove(gone);
          }
        });
        expect(room.inOrder(0)).toEqual(expected);
      },
    ));
  });
});
