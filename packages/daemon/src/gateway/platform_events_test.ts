/**
 * Changes of the platform while a part of the gateway restarts.
 *
 * @module
 */

import { expect, test, vi } from "vitest";
import type { RoutingConfiguration } from "./configuration.ts";
import {
  PlatformEvents,
  type PlatformEventsOptions,
} from "./platform_events.ts";

const CONFIGURATION: RoutingConfiguration = {
  version: 2,
  routes: [],
  services: new Map(),
  limits: {
    headerBytes: 1,
    bodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  },
  accounts: undefined,
};

/** An event with the configuration, or one that differs from it. */
function configurationEvent(changes: Partial<RoutingConfiguration> = {}) {
  return {
    kind: "configuration",
    configuration: { ...CONFIGURATION, ...changes },
    findings: [],
  } as const;
}

/** Events applied to parts that record what they get; their listener for callers is not running at first. */
function restartingGateway() {
  const setRoutes = vi.fn();
  const written: string[] = [];
  const callerListener = {
    running: false,
    version: 0,
    send({ configuration }: { configuration: RoutingConfiguration }) {
      if (this.running) {
        this.version = configuration.version;
      }
    },
  };
  const state = { restores: 0 };
  const options = {
    path: { setRoutes, targets: { setServices: vi.fn() } },
    callerListener,
    accounts: { configurationApplied: vi.fn() },
    log: { write: (event: string) => written.push(event) },
    operatorRowsSeen: () => ({ era: 1, version: 1 }),
    operatorRowsRestores: () => state.restores,
    entriesUnused: () => undefined,
  };
  const events = new PlatformEvents(
    options as unknown as PlatformEventsOptions,
  );
  return { events, callerListener, state, setRoutes, written };
}

test("a configuration is not reported as in force while the listener for callers restarts", () => {
  const { events, callerListener, setRoutes, written } = restartingGateway();
  callerListener.version = 1;
  const event = configurationEvent();
  expect(() => events.handle(event)).toThrow("not running");
  expect(written).toEqual([]);
  callerListener.running = true;
  events.handle(event);
  expect(written).toEqual(["configuration in force"]);
  expect(setRoutes).toHaveBeenCalledOnce();
  expect(callerListener.version).toBe(2);
});

test("a configuration that goes on from a copy is put in force after the listener's restart", () => {
  const { events, callerListener, state, written } = restartingGateway();
  callerListener.running = true;
  events.handle(configurationEvent({ version: 5 }));
  callerListener.running = false;
  state.restores = 1;
  const event = configurationEvent({ version: 4 });
  expect(() => events.handle(event)).toThrow("not running");
  callerListener.running = true;
  events.handle(event);
  expect(callerListener.version).toBe(4);
  expect(written).toEqual([
    "configuration in force",
    "configuration goes on from a copy",
    "configuration in force",
  ]);
});

test("a configuration read before a restore and applied after it keeps none out that goes on from the copy", () => {
  const { events, callerListener, state, written } = restartingGateway();
  const event = configurationEvent({ version: 5 });
  expect(() => events.handle(event)).toThrow("not running");
  state.restores = 1;
  callerListener.running = true;
  events.handle(event);
  events.handle(configurationEvent({ version: 4 }));
  expect(callerListener.version).toBe(4);
  expect(written).not.toContain("configuration passed over");
});
