/**
 * Signals that arrive before they have a handler.
 *
 * @module
 */

import { EventEmitter } from "node:events";
import { expect, test } from "vitest";
import { EarlySignals } from "./early_signals.ts";
import { StopSignals } from "./stop_signals.ts";

function start() {
  const process = new EventEmitter();
  const signals = new EarlySignals(process, ["SIGHUP", "SIGTERM", "SIGINT"]);
  return { process, signals };
}

test("a signal that arrives before its handler is passed on once", () => {
  const { process, signals } = start();
  process.emit("SIGHUP");
  process.emit("SIGHUP");
  let calls = 0;
  signals.on("SIGHUP", () => calls += 1);
  expect(calls).toBe(1);
  process.emit("SIGHUP");
  expect(calls).toBe(2);
});

test.each([["SIGTERM"], ["SIGINT"]])(
  "an early %s is pending until the handler that stops the process has it",
  async (signal) => {
    const { process, signals } = start();
    process.emit("SIGHUP");
    expect(signals.isStopPending).toBe(false);
    process.emit(signal);
    expect(signals.isStopPending).toBe(true);
    const ends: string[] = [];
    const stop = new StopSignals({
      process: signals,
      stopped: () => ends.push("stopped"),
      failed: (err) => ends.push(`failed: ${err}`),
    });
    expect(signals.isStopPending).toBe(false);
    stop.started({ stop: () => Promise.resolve() });
    await Promise.resolve();
    expect(ends).toEqual(["stopped"]);
  },
);
