/**
 * Which signals stop what runs, and when.
 *
 * @module
 */

import { EventEmitter } from "node:events";
import { expect, test } from "vitest";
import { StopSignals } from "./stop_signals.ts";

interface TestProcess {
  readonly process: EventEmitter;
  readonly signals: StopSignals;
  readonly ends: string[];
}

function start(): TestProcess {
  const process = new EventEmitter();
  const ends: string[] = [];
  const signals = new StopSignals({
    process,
    stopped: () => ends.push("stopped"),
    failed: (err) => ends.push(`failed: ${err}`),
  });
  return { process, signals, ends };
}

/** A gateway that counts its stops. */
function gatewayWith(stop: () => Promise<void>) {
  const gateway = {
    stops: 0,
    stop: () => {
      gateway.stops += 1;
      return stop();
    },
  };
  return gateway;
}

test.each([["SIGTERM"], ["SIGINT"]])(
  "%s stops what runs in order, whatever signals follow",
  async (signal) => {
    // Without a handler, the signal would cut all open requests.
    const { process, signals, ends } = start();
    const gateway = gatewayWith(() => Promise.resolve());
    signals.started(gateway);
    expect(gateway.stops).toBe(0);
    process.emit(signal);
    process.emit("SIGINT");
    process.emit("SIGTERM");
    await Promise.resolve();
    expect(gateway.stops).toBe(1);
    expect(ends).toEqual(["stopped"]);
  },
);

test("a signal that arrives during the start stops it once that is complete", async () => {
  // Its listeners may already have accepted requests.
  const { process, signals, ends } = start();
  process.emit("SIGTERM");
  const gateway = gatewayWith(() => Promise.resolve());
  signals.started(gateway);
  await Promise.resolve();
  expect(gateway.stops).toBe(1);
  expect(ends).toEqual(["stopped"]);
});

test("a stop that fails is reported", async () => {
  // As a rejected promise that nobody handles it would end the process without a log line.
  const { process, signals, ends } = start();
  signals.started(gatewayWith(() => Promise.reject(new Error("no room"))));
  process.emit("SIGTERM");
  await new Promise((resolve) => setImmediate(resolve));
  expect(ends).toEqual(["failed: Error: no room"]);
});
