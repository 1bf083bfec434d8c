/**
 * The request path of callers for tests: the real listener, exchanges, pools and
 * steering, with scripted targets and no platform.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { once } from "node:events";
import { createServer, type RequestListener, type Server } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { text } from "node:stream/consumers";
import {
  type Preset,
  presetFormat,
  type Settings,
  settingsFormat,
  validateValue,
} from "@poplarthread/config";
import { nextPlan, type TargetEntry } from "@poplarthread/decisions";
import type {
  RegionId,
  ServiceId,
  TargetId,
  VmId,
  ZoneId,
} from "@poplarthread/ids";
import { CrashWatch } from "./crash_watch.ts";
import { CallerListener } from "./http/caller_listener.ts";
import { DeadlineWheel } from "./http/deadline_wheel.ts";
import type { ExchangeEnd } from "./http/exchange.ts";
import type { KeyedClaims } from "./http/keyed_claims.ts";
import { RouteTable } from "./http/routes.ts";
import { TargetPools } from "./http/target_pools.ts";
import { Lookups } from "./lookups.ts";
import { Metrics } from "./metrics.ts";
import { SteeringTask } from "./steering_task.ts";

const VM = "vm-1" as VmId;
const REGION = "one" as RegionId;
const ZONE = "one-1" as ZoneId;
const SERVICE = "shop" as ServiceId;

/** Two routes: requests for pages may be repeated, orders run at most once. */
export const TEST_PRESET: Preset = validateValue({
  id: "test",
  about: "For tests",
  regions: [{ id: REGION, zones: [ZONE] }],
  services: [{
    id: SERVICE,
    slotsPerTarget: 3,
    connectionsPerTarget: 30,
    targets: { [REGION]: 2 },
    utilisation: 1,
  }],
  classes: [
    { id: "orders", rank: 0, maxWaitMs: 1_000 },
    { id: "pages", rank: 1, maxWaitMs: 1_000 },
  ],
  routes: [
    {
      id: "pages",
      methods: ["GET", "HEAD", "POST"],
      path: "/",
      service: SERVICE,
      class: "pages",
      repeat: "idempotent",
      deadlineMs: 5_000,
    },
    {
      id: "orders",
      methods: ["POST"],
      path: "/orders",
      service: SERVICE,
      class: "orders",
      repeat: "at-most-once",
      deadlineMs: 5_000,
    },
  ],
  links: [],
  demand: [],
  shift: { stepMs: 1_000, maxStepShare: 0.5, coldStepShare: 0.5 },
  callerShare: 1,
  retryShare: 1,
  lookup: { lifetimeMs: 5_000, regions: 1 },
}, presetFormat);

/** Settings that listen on loopback ports chosen by the operating system. */
export function testSettings(limits: Partial<Settings["limits"]>): Settings {
  const listener = { host: "127.0.0.1", port: 0 };
  return validateValue({
    vm: VM,
    region: REGION,
    zone: ZONE,
    listen: { caller: listener, operator: listener, peer: listener },
    platform: { url: "http://127.0.0.1:9" },
    secrets: { operatorTokensFile: "none", peerTokenFile: "none" },
    limits,
  }, settingsFormat);
}

/** The response that a caller received. */
export interface CallerResponse {
  readonly status: number;
  readonly headers: Headers;
  readonly body: string;
}

/** A running request path with its targets. */
export interface TestPath {
  readonly port: number;
  readonly listener: CallerListener;
  readonly metrics: Metrics;
  /** Outcomes of the exchanges, in order. */
  readonly ends: ExchangeEnd[];
  /** Sends one request; rejects if the connection breaks before the response is complete. */
  send(path: string, init?: RequestInit): Promise<CallerResponse>;
  /** Writes bytes on a new connection; resolves with all bytes received until it ends. */
  sendRaw(bytes: Buffer | string): Promise<string>;
  close(): Promise<void>;
}

/** Options of {@link startPath}. */
export interface TestPathOptions {
  readonly limits?: Partial<Settings["limits"]>;
  readonly claims?: KeyedClaims;
}

/** Starts a request path; each of `targets` handles the requests of one target. */
export async function startPath(
  targets: readonly RequestListener[],
  options: TestPathOptions = {},
): Promise<TestPath> {
  const servers = await Promise.all(targets.map(listen));
  const settings = testSettings(options.limits ?? {});
  const entries = servers.map((_, index): TargetEntry => ({
    target: `t${index + 1}` as TargetId,
    service: SERVICE,
    region: REGION,
    zone: ZONE,
    leaving: false,
  }));
  const pools = new TargetPools({ localAddress: "127.0.0.1" });
  pools.setTargets(entries.map(({ target }, index) => ({
    id: target,
    address: `127.0.0.1:${portOf(servers[index]!)}`,
    connections: 30,
  })));
  const vms = [{ vm: VM, region: REGION, zone: ZONE, live: true }];
  const plan = nextPlan({
    policy: TEST_PRESET,
    revision: 1,
    vms,
    targets: entries,
    demand: [],
    confirmations: [],
    stopped: new Set(),
    previousAgeMs: 0,
  });
  const steering: SteeringTask = new SteeringTask({
    self: VM,
    seed: 1,
    onPeerEffect: () => undefined,
    onStarted: () => {
      steering.send({ kind: "vms", vms });
      steering.send({ kind: "targets", targets: entries });
      steering.send({ kind: "plan", plan });
    },
  });
  const crashes = new CrashWatch({
    publish: () => undefined,
    onEnded: () => undefined,
  });
  const lookups = new Lookups();
  lookups.set({
    preset: TEST_PRESET,
    self: { region: REGION, zone: ZONE },
    vms: [],
  });
  const metrics = new Metrics();
  const ends: ExchangeEnd[] = [];
  const noClaims: KeyedClaims = {
    claim: () => Promise.reject(new Error("no claims in this test")),
  };
  const listener: CallerListener = new CallerListener({
    settings,
    idPrefix: "test",
    lookups,
    metrics,
    routing: () => ({ revision: 1, routes: new RouteTable(TEST_PRESET) }),
    onTick: (now) => steering.tick(now),
    services: {
      limits: settings.limits,
      wheel: new DeadlineWheel(performance.now()),
      targets: pools,
      claims: options.claims ?? noClaims,
      attemptObserver: crashes,
      steer: (event, exchange) => steering.steer(event, exchange),
      ended: (_, end) => {
        ends.push(end);
        listener.exchangeEnded();
      },
      settled: (exchange) => steering.settled(exchange),
    },
  });
  const parent = {
    failed: (_: unknown, err: unknown) => {
      throw err;
    },
  };
  await steering.start(parent);
  steering.send({ kind: "start", policy: TEST_PRESET });
  await crashes.start(parent);
  await listener.start(parent);
  const { port } = listener;
  return {
    port,
    listener,
    metrics,
    ends,
    async send(path, init): Promise<CallerResponse> {
      const res = await fetch(`http://127.0.0.1:${port}${path}`, init);
      const { status, headers } = res;
      return { status, headers, body: await res.text() };
    },
    async sendRaw(bytes): Promise<string> {
      const socket = connect(port, "127.0.0.1");
      await once(socket, "connect");
      socket.write(bytes);
      return await text(socket).catch(() => "");
    },
    async close(): Promise<void> {
      await listener.stop();
      await crashes.stop();
      await steering.stop();
      await pools.close();
      servers.forEach((server) => server.closeAllConnections());
      await Promise.all(
        servers.map((server) => new Promise((done) => server.close(done))),
      );
    },
  };
}

async function listen(handler: RequestListener): Promise<Server> {
  const server = createServer(handler);
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return server;
}

function portOf(server: Server): number {
  return (server.address() as AddressInfo).port;
}
