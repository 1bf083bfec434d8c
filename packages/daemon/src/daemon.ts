/**
 * The daemon, thin: reads what is in force, answers look-ups and passes
 * requests to targets.
 *
 * @module
 */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { pipeline } from "node:stream/promises";
import { Pool } from "undici";
import type { Configuration, Settings } from "@poplarthread/config";
import { type ListedVm, PlatformClient } from "./platform_client.ts";

const LOOKUP_PATH = "/.well-known/poplarthread/lookup";
const POLL_MS = 1_000;

/** A running daemon. */
export interface Daemon {
  /** Stops listening and polling. */
  stop(): Promise<void>;
}

/** Starts the daemon; settles when it has a configuration and listens. */
export async function startDaemon(settings: Settings): Promise<Daemon> {
  const platform = new PlatformClient(settings.platform);
  const pools = new Map<string, Pool>();
  let configuration: Configuration | undefined;
  let vms: readonly ListedVm[] = [];

  async function poll(): Promise<void> {
    const [row] = await platform.read(["config/in-force"]);
    const read = row!.value as unknown as Configuration | null;
    if (read !== null && read.revision > (configuration?.revision ?? 0)) {
      configuration = read;
    }
    vms = await platform.listVms();
  }

  function lookUp(res: ServerResponse): void {
    const entries = vms.filter((vm) =>
      vm.role === "entry" && vm.state === "live"
    );
    const lifetimeMs = configuration!.preset.lookup.lifetimeMs;
    res.writeHead(200, {
      "content-type": "application/json",
      "cache-control": `max-age=${Math.floor(lifetimeMs / 1000)}`,
    });
    res.end(JSON.stringify({ vms: entries, lifetimeMs }));
  }

  async function proxy(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const targets = vms.filter((vm) =>
      vm.role === "target" && vm.state === "live"
    );
    const target = targets[Math.floor(Math.random() * targets.length)];
    if (target === undefined || target.role !== "target") {
      res.writeHead(503, { "retry-after": "1", "poplarthread-not-run": "1" })
        .end();
      return;
    }
    let pool = pools.get(target.address);
    if (pool === undefined) {
      pool = new Pool(`http://${target.address}`);
      pools.set(target.address, pool);
    }
    const answer = await pool.request({
      path: req.url!,
      method: req.method as "GET",
      body: req.method === "GET" ? null : req,
    });
    res.writeHead(answer.statusCode, { "content-type": "application/json" });
    await pipeline(answer.body, res);
  }

  const server: Server = createServer((req, res) => {
    if (req.url === LOOKUP_PATH) {
      lookUp(res);
      return;
    }
    proxy(req, res).catch(() => res.destroy());
  });

  await poll();
  const timer = setInterval(() => poll().catch(() => undefined), POLL_MS);
  const { host, port } = settings.listen.caller;
  await new Promise<void>((resolve) => server.listen(port, host, resolve));
  return {
    async stop(): Promise<void> {
      clearInterval(timer);
      server.close();
      await platform.close();
      await Promise.all([...pools.values()].map((pool) => pool.destroy()));
    },
  };
}
