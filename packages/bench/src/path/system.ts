/**
 * The processes of the experiment: platform, target, daemon and baselines.
 *
 * @module
 */

import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import {
  call,
  daemonScript,
  findPorts,
  LOOKUP_PATH,
  type Ports,
  Processes,
  putFirstInForce,
  standInScript,
  type Started,
} from "@poplarthread/standins";
import { type Preset, presetFormat, readValue } from "@poplarthread/config";
import { OperatorClient } from "@poplarthread/operator-api";
import { request } from "undici";
import type { LoadResult, LoadRole } from "./roles.ts";

const HOST = "127.1.1.11";
const TARGET_HOST = "127.1.1.101";
const BASELINE_HOST = "127.1.1.51";
/** More than the load has at once, so that no request of it waits or is refused. */
const SLOTS = 2_000;
const OPERATOR_TOKEN = "token-of-the-bench";

/** A server under load. */
export interface Server {
  readonly url: string;
  readonly pid: number;
}

/** Everything that is measured, and what it needs. */
export class System {
  readonly #processes = new Processes();
  readonly #dir = mkdtempSync(join(tmpdir(), "poplarthread-bench-"));
  readonly #ports: Ports;
  #daemon: Started | undefined;

  private constructor(ports: Ports) {
    this.#ports = ports;
  }

  static async start(): Promise<System> {
    return new System(await findPorts());
  }

  async stop(): Promise<void> {
    await this.#processes.stop();
    rmSync(this.#dir, { recursive: true, force: true });
  }

  async startTarget(): Promise<Server> {
    const { target } = this.#ports;
    return await this.#startServer("target_main.js", TARGET_HOST, {
      port: target,
    });
  }

  async startPassThrough(behind: string): Promise<Server> {
    const { caller } = this.#ports;
    return await this.#startServer("pass_through_main.js", BASELINE_HOST, {
      port: caller,
      behind,
    });
  }

  async startConstant(answer: string): Promise<Server> {
    const { operator } = this.#ports;
    return await this.#startServer("constant_main.js", BASELINE_HOST, {
      port: operator,
      answer,
    });
  }

  /** Starts the platform and a daemon; `nodeOptions` go to the daemon's Node.js. */
  async startDaemon(nodeOptions: readonly string[]): Promise<Server> {
    const { platform, caller } = this.#ports;
    await this.#processes.start({
      name: "platform",
      script: standInScript("platform/platform_main.js"),
      args: [JSON.stringify({ host: "127.0.0.1", port: platform })],
    }).firstLine;
    await this.#list();
    const started = this.#processes.start({
      name: "daemon",
      script: daemonScript(),
      args: ["--settings", this.#writeSettings()],
      nodeOptions,
    });
    const operator = new OperatorClient({
      url: `http://${HOST}:${this.#ports.operator}`,
      token: OPERATOR_TOKEN,
      timeoutMs: 5_000,
    });
    await putFirstInForce(operator, preset);
    await operator.close();
    this.#daemon = started;
    const server = { url: `http://${HOST}:${caller}`, pid: started.pid };
    await waitUntilServed(server);
    return server;
  }

  /** Ends the daemon as planned, so that a profile is written. */
  async stopDaemon(): Promise<void> {
    this.#daemon?.signal("SIGTERM");
    await this.#daemon?.exited;
  }

  /** Runs one phase of load in a process of its own. */
  async load(role: LoadRole): Promise<LoadResult> {
    const { firstLine, exited } = this.#processes.start({
      name: "load",
      script: scriptOf("load_main.js"),
      args: [JSON.stringify(role)],
      readyTimeoutMs: (role.seconds + 60) * 1_000,
    });
    const line = await firstLine;
    await exited;
    return JSON.parse(line) as LoadResult;
  }

  async #startServer(
    script: string,
    host: string,
    role: { port: number; behind?: string; answer?: string },
  ): Promise<Server> {
    const { pid, firstLine } = this.#processes.start({
      name: script,
      script: scriptOf(script),
      args: [JSON.stringify({ host, ...role })],
    });
    await firstLine;
    return { url: `http://${host}:${role.port}`, pid };
  }

  /** Puts the target and the VM into the platform's list. */
  async #list(): Promise<void> {
    const url = `http://127.0.0.1:${this.#ports.platform}`;
    const place = { region: "one", zone: "one-1", state: "live" };
    await call(`${url}/vms/t1`, "PUT", {
      id: "t1",
      role: "target",
      ...place,
      service: "pages",
      address: `${TARGET_HOST}:${this.#ports.target}`,
    });
    await call(`${url}/vms/e1`, "PUT", {
      id: "e1",
      role: "entry",
      ...place,
      caller: `${HOST}:${this.#ports.caller}`,
      peer: `${HOST}:${this.#ports.peer}`,
    });
  }

  #writeSettings(): string {
    const { platform, caller, operator, peer } = this.#ports;
    const operators = join(this.#dir, "operators.json");
    const token = join(this.#dir, "peer.token");
    writeFileSync(operators, JSON.stringify({ bench: OPERATOR_TOKEN }));
    writeFileSync(token, "bench-peer-token\n");
    const file = join(this.#dir, "settings.json");
    const settings = {
      vm: "e1",
      region: "one",
      zone: "one-1",
      listen: {
        caller: { host: HOST, port: caller },
        operator: { host: HOST, port: operator },
        peer: { host: HOST, port: peer },
      },
      platform: { url: `http://127.0.0.1:${platform}` },
      secrets: { operatorTokensFile: operators, peerTokenFile: token },
    };
    writeFileSync(file, JSON.stringify(settings));
    return file;
  }
}

/** One service without limits that the load could meet. */
const preset: Preset = readValue({
  id: "bench",
  about: "One target that carries everything",
  regions: [{ id: "one", zones: ["one-1"] }],
  services: [{
    id: "pages",
    slotsPerTarget: SLOTS,
    connectionsPerTarget: SLOTS,
    targets: { one: 1 },
    utilisation: 1,
  }],
  classes: [{ id: "pages", rank: 0, maxWaitMs: 1_000, reservedShare: 0 }],
  routes: [{
    id: "pages",
    methods: ["GET"],
    path: "/",
    service: "pages",
    class: "pages",
    repeat: "idempotent",
    deadlineMs: 10_000,
  }],
  links: [],
  demand: [],
  shift: { stepMs: 100, maxStepShare: 1, coldStepShare: 1 },
  callerShare: 1,
  retryShare: 0.1,
  lookup: { lifetimeMs: 5_000, regions: 2 },
}, presetFormat);

const WARM_UP_TIMEOUT_MS = 20_000;
const WARM_UP_REQUESTS = 200;

/** Waits until a plan has handed the daemon its slots: until requests in a row are served. */
async function waitUntilServed(server: Server): Promise<void> {
  const until = performance.now() + WARM_UP_TIMEOUT_MS;
  let served = 0;
  while (served < WARM_UP_REQUESTS) {
    if (performance.now() > until) {
      throw new Error("Cannot measure: the daemon doesn't serve");
    }
    const res = await request(`${server.url}/warm-up`);
    await res.body.dump();
    served = res.statusCode === 200 ? served + 1 : 0;
    if (served === 0) {
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
  }
}

/** The look-up's answer of a daemon, as text. */
export async function lookupAnswer(server: Server): Promise<string> {
  const res = await request(`${server.url}${LOOKUP_PATH}`);
  return await res.body.text();
}

function scriptOf(name: string): string {
  return fileURLToPath(new URL(`./${name}`, import.meta.url));
}
