import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { expect, test } from "vitest";
import { ATTEMPT_HEADER, WORK_MS_HEADER } from "../work.ts";
import { Runs } from "./runs.ts";
import { Target } from "./target.ts";

const PORT = 11_873;
let number = 100;

async function onTarget(
  slots: number,
  body: (on: { target: Target; runs: Runs; url: string }) => Promise<void>,
): Promise<void> {
  // Each its own address: a connection that is kept to one is no use to the next.
  number += 1;
  const host = `127.3.1.${number}`;
  const runs = new Runs();
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

async function ask(url: string, headers: Record<string, string> = {}) {
  const res = await request(url, { headers });
  await res.body.dump();
  return res;
}

test("work beyond the slots is refused as not run, and was not", async () => {
  await onTarget(1, async ({ target, runs, url }) => {
    const answers = await Promise.all(
      ["a", "b"].map((name) => ask(`${url}/work`, { [ATTEMPT_HEADER]: name })),
    );
    const statuses = answers.map((res) => res.statusCode).toSorted();
    expect(statuses).toEqual([200, 503]);
    const refused = answers.findIndex((res) => res.statusCode === 503);
    expect(answers[refused]!.headers["poplarthread-not-run"]).toBe("1");
    const ran = ["a", "b"][1 - refused]!;
    expect(runs.report().attempts).toEqual({ [ran]: 1 });
    expect(target.counts).toMatchObject({ runs: 1, shed: 1, mostAtOnce: 1 });
  });
});

test("work ends at its deadline, and with its connection", async () => {
  await onTarget(2, async ({ target, url }) => {
    const late = await ask(`${url}/work`, {
      [WORK_MS_HEADER]: "500",
      "poplarthread-deadline-ms": "50",
    });
    expect(late.statusCode).toBe(504);
    const cut = new AbortController();
    const gone = request(`${url}/work`, {
      headers: { [WORK_MS_HEADER]: "5000" },
      signal: cut.signal,
    });
    await sleep(50);
    cut.abort();
    await expect(gone).rejects.toThrow();
    await sleep(50);
    expect(target.counts).toMatchObject({ deadlineStops: 1, cancelled: 1 });
  });
});

test("health and load tell the truth, or lie by switch; a draining target says so", async () => {
  await onTarget(2, async ({ target, url }) => {
    target.set({ load: "always-full", draining: true });
    const load = await request(`${url}/load`);
    expect(await load.body.json()).toEqual({ inFlight: 2, slots: 2 });
    const health = await request(`${url}/health`);
    expect(await health.body.json()).toEqual({ status: "draining" });
    target.set({ health: "always-failing" });
    expect((await ask(`${url}/health`)).statusCode).toBe(503);
    const work = await ask(`${url}/work`);
    expect(work.headers["poplarthread-leaving"]).toBe("1");
  });
});
