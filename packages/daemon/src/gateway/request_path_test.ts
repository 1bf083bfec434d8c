/**
 * The request path of a VM that has just been created.
 *
 * @module
 */

import { Writable } from "node:stream";
import type { RegionId, VmId, ZoneId } from "@poplarthread/ids";
import { Steering } from "@poplarthread/placement";
import { expect, test } from "vitest";
import { createLog } from "../log.ts";
import type { ConnectionSource } from "./connections.ts";
import { EventLog } from "./events.ts";
import type { Dialect } from "./ports.ts";
import { RequestPath } from "./request_path.ts";
import { budgetBytesFor } from "./response_budget.ts";

const VM = "vm-1" as VmId;
const ZONE = "north-1" as ZoneId;
const REGION = "north" as RegionId;
const MEMORY_BYTES = 400_000_000;
const RESIDENT_BYTES = 80_000_000;

const log = new EventLog(
  createLog({
    level: "error",
    vm: VM,
    instance: "vm-1.test",
    stream: new Writable({ write: (_line, _encoding, done) => done() }),
  }),
);

test("the memory for responses is bounded before the first tick", () => {
  // Guards against a VM that holds large responses without a bound in its first moments.
  const path = new RequestPath({
    steering: new Steering({
      vm: VM,
      location: { zone: ZONE, region: REGION },
      retries: { ratio: 0.2, fixed: 50, windowMs: 10_000 },
    }),
    zones: new Map([[ZONE, REGION]]),
    dialect: {} as Dialect,
    log,
    connections: {} as ConnectionSource,
    memory: {
      memoryBytes: MEMORY_BYTES,
      residentBytes: () => RESIDENT_BYTES,
    },
    targetChanged: () => undefined,
    targetUnresponsive: () => undefined,
    probe: () => undefined,
    publishLimit: () => undefined,
    publishSuspects: () => undefined,
    ended: () => undefined,
    attemptEnded: () => undefined,
  });
  expect(path.gauges.responseBudgetBytes).toBe(
    budgetBytesFor({
      memoryBytes: MEMORY_BYTES,
      residentBytes: RESIDENT_BYTES,
    }),
  );
});
