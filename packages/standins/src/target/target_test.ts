import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { expect, test } from "vitest";
import { ATTEMPT_HEADER, WORK_MS_HEADER } from "../work_protocol.ts";
import { RunCounter } from "./run_counter.ts";
import { Target } from "./target.ts";

const PORT = 11_873;
let hostNumber = 100;

async function withTarget(
  slots: number,
  body: (context: { target: Target; runs: RunCounter; url: string }) => Promise<void>,
): Promise<void> {
  // Each target has its own address, so that no pooled connection is reused for the next target.
  hostNumber += 1;
  const host = `127.3.1.${hostNumber}`;
  const runs = new RunCounter();
  const target = new Target({
    id: "t1",
    host,
    port: PORT,
    slots,
    connections: 10,
    workMs: 50,
    coldMs: 0,
    delays: { betweenZonesMs: 1, betweenRegionsMs: 5 },
  }, runs);
  await target.listen();
  try {
    await body({ target, runs, url: `http://${host}:${PORT}` });
  } finally {
    target.close();
  }
}

async function get(url: string, headers: Record<string, string> = {}) {
  const res = await request(url, { headers });
  await res.body.dump();
  return res;
}

test("work that exceeds the slots is refused as not run and does not run", async () => {
  await withTarget(1, async ({ target, runs, url }) => {
    const responses = await Promise.all(
      ["a", "b"].map((name) => get(`${url}/work`, { [ATTEMPT_HEADER]: name })),
    );
    const statuses = responses.map((res) => res.statusCode).toSorted();
    expect(statuses).toEqual([200, 503]);
    const refused = responses.findIndex((res) => res.statusCode === 503);
    expect(responses[refused]!.headers["poplarthread-not-run"]).toBe("1");
    const ran = ["a", "b"][1 - refused]!;
    expect(runs.report().attempts).toEqual({ [ran]: 1 });
    expect(target.counts).toMatchObject({ runs: 1, shed: 1, mostAtOnce: 1 });
  });
});

test("work stops at its deadline and when its connection closes", async () => {
  await withTarget(2, async ({ target, url }) => {
    const late = await get(`${url}/work`, {
      [WORK_MS_HEADER]: "500",
      "poplarthread-deadline-ms": "50",
    });
    expect(late.statusCode).toBe(504);
    const controller = new AbortController();
    const cancelled = request(`${url}/work`, {
      headers: { [WORK_MS_HEADER]: "5000" },
      signal: controller.signal,
    });
    await sleep(50);
    controller.abort();
    await expect(cancelled).rejects.toThrow();
    await sleep(50);
    expect(target.counts).toMatchObject({ deadlineStops: 1, cancelled: 1 });
  });
});

test("switches make health and load report false values, and a draining target marks its responses", async () => {
  await withTarget(2, async ({ target, url }) => {
    target.setSwitches({ load: "always-full", draining: true });
    const load = await request(`${url}/load`);
    expect(await load.body.json()).toEqual({ inFlight: 2, slots: 2 });
    const health = await request(`${url}/health`);
    expect(await health.body.json()).toEqual({ status: "draining" });
    target.setSwitches({ health: "always-failing" });
    expect((await get(`${url}/health`)).statusCode).toBe(503);
    const work = await get(`${url}/work`);
    expect(work.headers["poplarthread-leaving"]).toBe("1");
  });
});
