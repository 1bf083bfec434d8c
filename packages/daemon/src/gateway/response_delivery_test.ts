import { EventEmitter } from "node:events";
import type { ServerResponse } from "node:http";
import { afterEach, beforeEach, describe, expect, test, vi } from "vitest";
import { DeadlineWheel } from "../http/deadline_wheel.ts";
import { ResponseBudget } from "./response_budget.ts";
import { ResponseDelivery } from "./response_delivery.ts";

const CHUNK = Buffer.alloc(50_000);

/** A response whose connection takes one write at a time. */
class SlowResponse extends EventEmitter {
  written = 0;
  writes = 0;
  isEnded = false;

  write(chunk: Buffer): boolean {
    this.written += chunk.length;
    this.writes += 1;
    return false;
  }

  end(): void {
    this.isEnded = true;
  }
}

let events: string[];
let res: SlowResponse;
let wheel: DeadlineWheel;

beforeEach(() => {
  vi.useFakeTimers({ toFake: ["performance"] });
  events = [];
  res = new SlowResponse();
  wheel = new DeadlineWheel(performance.now());
});

afterEach(() => {
  vi.useRealTimers();
});

function deliveryWithin(budgetBytes: number): ResponseDelivery {
  const budget = new ResponseBudget();
  budget.setTotal(budgetBytes);
  return new ResponseDelivery(res as unknown as ServerResponse, {
    hold: budget.open("r"),
    wheel,
    delivered: () => events.push("delivered"),
    stalled: () => events.push("stalled"),
  });
}

function resume(): void {
  events.push("resumed");
}

describe("the delivery of a response", () => {
  // Each write takes some hundred bytes: a connection's writes would take a megabyte.
  test("writes small chunks that arrive together as one", async () => {
    const delivery = deliveryWithin(200_000);
    for (let index = 0; index < 3_000; index++) {
      delivery.write(CHUNK.subarray(0, 1), resume);
    }
    await Promise.resolve();
    expect(res.writes).toBe(1);
    expect(res.written).toBe(3_000);
  });

  // A caller reads slowly while there is memory. A target whose response stays unread
  // for some seconds cuts it off.
  test("reads on while there is room, and pauses the target beyond that", () => {
    const delivery = deliveryWithin(200_000);
    expect(delivery.write(CHUNK, resume)).toBe(true);
    expect(delivery.write(CHUNK, resume)).toBe(false);
    expect(res.written).toBe(CHUNK.length);
    res.emit("drain");
    expect(events).toEqual([]);
    res.emit("drain");
    expect(events).toEqual(["resumed"]);
  });

  // Node's server closes connections whose response has been ended when it stops, though
  // the caller has yet to take the rest.
  test("ends the response only after the network has taken everything", () => {
    const delivery = deliveryWithin(Infinity);
    delivery.end([CHUNK, CHUNK]);
    res.emit("drain");
    expect(res.isEnded).toBe(false);
    res.emit("drain");
    expect(res.isEnded).toBe(true);
    expect(events).toEqual(["delivered"]);
    delivery.close();
  });

  // A caller lost its network. Its response would take memory for good.
  test("gives up on a caller that takes nothing, and not on one that is slow", () => {
    deliveryWithin(Infinity).end([CHUNK, CHUNK, CHUNK]);
    for (let second = 1; second <= 45; second++) {
      vi.advanceTimersByTime(1_000);
      wheel.advance(performance.now());
      if (second === 25) {
        res.emit("drain");
      }
    }
    expect(events).toEqual([]);
    vi.advanceTimersByTime(11_000);
    wheel.advance(performance.now());
    expect(events).toEqual(["stalled"]);
  });
});
