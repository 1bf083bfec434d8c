/**
 * The demo, thin: platform, target and daemon as processes of their own, one
 * look-up and some requests from end to end.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { request } from "undici";

const children: ChildProcess[] = [];

async function start(script: string, args: readonly string[]): Promise<void> {
  const path = fileURLToPath(new URL(script, import.meta.url));
  const child = spawn(process.execPath, [path, ...args], {
    stdio: ["ignore", "pipe", "inherit"],
  });
  children.push(child);
  await new Promise((resolve) => child.stdout!.once("data", resolve));
}

async function put(url: string, body: unknown): Promise<void> {
  const res = await request(url, { method: "PUT", body: JSON.stringify(body) });
  await res.body.dump();
}

const preset = {
  id: "ordinary",
  about: "Thin demo",
  regions: [{ id: "zilina", zones: ["zilina-1"] }],
  services: [{
    id: "portal",
    slotsPerTarget: 3,
    connectionsPerTarget: 330,
    targets: { zilina: 1 },
    utilisation: 1,
  }],
  classes: [{ id: "pages", rank: 0, maxWaitMs: 1000, reservedShare: 0 }],
  routes: [{
    id: "all",
    methods: ["GET", "POST"],
    path: "/",
    service: "portal",
    class: "pages",
    repeat: "idempotent",
    deadlineMs: 5000,
  }],
  links: [],
  demand: [],
  shift: { stepMs: 1000, maxStepShare: 0.1, coldStepShare: 0.05 },
  callerShare: 0.5,
  retryShare: 0.1,
  lookup: { lifetimeMs: 5000, regions: 2 },
};

async function main(): Promise<void> {
  await start("platform_main.js", ["127.0.0.1", "18000"]);
  await start("target_main.js", ["127.0.0.1", "18001", "3", "5"]);
  const platform = "http://127.0.0.1:18000";
  const inForce = { revision: 1, preset, presetVersion: 1, drains: [] };
  const seeded = await request(`${platform}/table/transact`, {
    method: "POST",
    body: JSON.stringify({
      conditions: [],
      writes: [{ key: "config/in-force", value: inForce }],
    }),
  });
  await seeded.body.dump();
  const at = { region: "zilina", zone: "zilina-1", state: "live" };
  await put(`${platform}/vms/t1`, {
    id: "t1",
    role: "target",
    ...at,
    service: "portal",
    address: "127.0.0.1:18001",
  });
  await put(`${platform}/vms/e1`, {
    id: "e1",
    role: "entry",
    ...at,
    caller: "127.0.0.1:18002",
    peer: "127.0.0.1:18004",
  });
  const dir = mkdtempSync(join(tmpdir(), "poplarthread-demo-"));
  writeFileSync(
    join(dir, "operators.json"),
    JSON.stringify({ demo: "demo-token" }),
  );
  writeFileSync(join(dir, "peer.token"), "peer-token\n");
  const settings = {
    vm: "e1",
    region: "zilina",
    zone: "zilina-1",
    listen: {
      caller: { host: "127.0.0.1", port: 18002 },
      operator: { host: "127.0.0.1", port: 18003 },
      peer: { host: "127.0.0.1", port: 18004 },
    },
    platform: { url: platform },
    secrets: {
      operatorTokensFile: join(dir, "operators.json"),
      peerTokenFile: join(dir, "peer.token"),
    },
  };
  writeFileSync(join(dir, "e1.json"), JSON.stringify(settings));
  await start("../../daemon/bin/poplarthreadd.js", [
    "--settings",
    join(dir, "e1.json"),
  ]);

  const lookup = await request(
    "http://127.0.0.1:18002/.well-known/poplarthread/lookup",
  );
  const answer = await lookup.body.json() as { vms: { caller: string }[] };
  let served = 0;
  for (let n = 0; n < 20; n++) {
    const res = await request(`http://${answer.vms[0]!.caller}/drafts/${n}`);
    const body = await res.body.json() as { path: string };
    served += res.statusCode === 200 && body.path === `/drafts/${n}` ? 1 : 0;
  }
  console.log(JSON.stringify({ requests: 20, served }));
  process.exitCode = served === 20 ? 0 : 1;
}

try {
  await main();
} finally {
  for (const child of children) {
    child.kill();
  }
}
