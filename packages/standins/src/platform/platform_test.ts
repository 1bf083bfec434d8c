import type { AddressInfo } from "node:net";
import { request } from "undici";
import { expect, test } from "vitest";
import type { Faults } from "./faults.ts";
import { createPlatform } from "./platform.ts";

async function withPlatform(
  body: (url: string) => Promise<void>,
): Promise<void> {
  const server = createPlatform();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  try {
    await body(`http://127.0.0.1:${port}`);
  } finally {
    server.closeAllConnections();
    server.close();
  }
}

async function setFaults(url: string, faults: Partial<Faults>): Promise<void> {
  const res = await request(`${url}/faults`, {
    method: "PUT",
    body: JSON.stringify(faults),
  });
  await res.body.dump();
}

function write(url: string, key: string) {
  return request(`${url}/table/transact`, {
    method: "POST",
    body: JSON.stringify({ conditions: [], writes: [{ key, value: 1 }] }),
  });
}

async function readVersion(url: string, key: string): Promise<number> {
  const res = await request(`${url}/table/read`, {
    method: "POST",
    body: JSON.stringify({ keys: [key] }),
  });
  const { rows } = await res.body.json() as { rows: { version: number }[] };
  return rows[0]!.version;
}

test("a failed write has taken effect with the fault lose-answers, but not with down", async () => {
  await withPlatform(async (url) => {
    await setFaults(url, { store: "lose-answers" });
    await expect(write(url, "a")).rejects.toThrow();
    await setFaults(url, { store: "down" });
    await expect(write(url, "b")).rejects.toThrow();
    await setFaults(url, { store: "none" });
    expect([await readVersion(url, "a"), await readVersion(url, "b")])
      .toEqual([1, 0]);
  });
});

test("writes that exceed the limit are refused without effect", async () => {
  await withPlatform(async (url) => {
    await setFaults(url, { writesPerSecond: 2 });
    const keys = ["a", "b", "c", "d", "e"];
    const responses = await Promise.all(keys.map((key) => write(url, key)));
    const statuses = responses.map(({ statusCode }) => statusCode);
    expect(statuses.filter((status) => status === 429).length)
      .toBeGreaterThanOrEqual(2);
    const versions = await Promise.all(
      keys.map((key) => readVersion(url, key)),
    );
    expect(versions).toEqual(
      statuses.map((status) => (status === 200 ? 1 : 0)),
    );
  });
});

test("the VM list lags behind its current state by listLagMs", async () => {
  await withPlatform(async (url) => {
    await setFaults(url, { listLagMs: 60_000 });
    await request(`${url}/vms/e1`, { method: "PUT", body: '{"id":"e1"}' });
    const lagging = await request(`${url}/vms`);
    expect(await lagging.body.json()).toEqual({ vms: [] });
    await setFaults(url, { listLagMs: 0 });
    const current = await request(`${url}/vms`);
    expect(await current.body.json()).toEqual({ vms: [{ id: "e1" }] });
  });
});
