/**
 * Makes load for one phase and prints a {@link LoadResult}.
 *
 * @module
 */

import { build } from "hdr-histogram-js";
import { type Dispatcher, Pool } from "undici";
import { processOptions } from "@poplarthread/standins";
import type { LoadResult, LoadRole } from "./roles.ts";

/** Latencies are recorded in microseconds, up to a minute. */
const HIGHEST_US = 60_000_000;
/** The shortest the runtime has: what falls due meanwhile begins late, for all servers alike. */
const TICK_MS = 1;

const role = processOptions<LoadRole>();
const pool = new Pool(role.url, {
  connections: role.connections,
  pipelining: 1,
});
const latency = build({
  highestTrackableValue: HIGHEST_US,
  numberOfSignificantValueDigits: 3,
  useWebAssembly: false,
});
let requests = 0;
let failed = 0;
let open = 0;

/** Sends one request; `dueAt` is when it should have begun, so that a stall counts for all it delays. */
function send(dueAt: number, onEnd: () => void): void {
  let status = 0;
  open += 1;
  function end(): void {
    open -= 1;
    requests += 1;
    failed += status === 200 ? 0 : 1;
    latency.recordValue(Math.round((performance.now() - dueAt) * 1_000));
    onEnd();
  }
  const handler: Dispatcher.DispatchHandler = {
    onRequestStart() {},
    onResponseStart(_controller, statusCode) {
      status = statusCode;
    },
    onResponseData() {},
    onResponseEnd: end,
    onResponseError() {
      status = 0;
      end();
    },
  };
  const options = {
    path: role.path,
    method: "GET" as const,
    reset: role.churn === true,
  };
  pool.dispatch(options, handler);
}

function runClosed(until: number): void {
  function again(): void {
    const now = performance.now();
    if (now < until) {
      send(now, again);
    }
  }
  for (let n = 0; n < role.connections; n++) {
    again();
  }
}

function runOpen(until: number, perSecond: number): void {
  const startedAt = performance.now();
  let sent = 0;
  const timer = setInterval(() => {
    const now = performance.now();
    for (; startedAt + sent / perSecond * 1_000 <= now; sent++) {
      send(startedAt + sent / perSecond * 1_000, () => undefined);
    }
    if (now >= until) {
      clearInterval(timer);
    }
  }, TICK_MS);
}

async function main(): Promise<void> {
  const startedAt = performance.now();
  const until = startedAt + role.seconds * 1_000;
  if (role.perSecond === undefined) {
    runClosed(until);
  } else {
    runOpen(until, role.perSecond);
  }
  while (performance.now() < until || open > 0) {
    await new Promise((resolve) => setTimeout(resolve, TICK_MS));
  }
  const seconds = (performance.now() - startedAt) / 1_000;
  const result: LoadResult = {
    requests,
    failed,
    perSecond: requests / seconds,
    latencyMs: {
      p50: latency.getValueAtPercentile(50) / 1_000,
      p99: latency.getValueAtPercentile(99) / 1_000,
      max: latency.maxValue / 1_000,
    },
  };
  console.log(JSON.stringify(result));
  await pool.destroy();
}

await main();
