/**
 * A deployment as separate processes on loopback addresses: the platform, the
 * relay between the VMs, the targets (one process a region) and the daemons.
 *
 * @module
 */

import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { Preset } from "@poplarthread/config";
import { OperatorClient } from "@poplarthread/operator-api";
import type { ReadyLine } from "../admin.ts";
import { Caller } from "../caller/caller.ts";
import { addressAt } from "../delays.ts";
import type { Faults, PlatformCounts } from "../platform/faults.ts";
import { type DeploymentName, PRESETS, shippedPreset } from "../presets.ts";
import type { Cut } from "../relay/relay.ts";
import type { RunsReport } from "../target/runs.ts";
import type { TargetCounts, TargetSwitches } from "../target/switches.ts";
import { call } from "./call.ts";
import {
  CALLERS_NUMBER,
  DELAYS,
  type LaidVm,
  type Layout,
  layOut,
} from "./layout.ts";
import { makeChange, putFirstInForce } from "./operate.ts";
import { findPorts, type Ports } from "./ports.ts";
import { Processes, type Started } from "./processes.ts";
import { daemonScript, standInScript } from "./scripts.ts";
import { waitFor } from "./wait.ts";

/** What to start. */
export interface ClusterOptions {
  readonly deployment: DeploymentName;
  /** Number of entry VMs; 9 as in the deployments. */
  readonly vms?: number;
  /** Most targets of one service in one region; all without it. */
  readonly targetsPerRegion?: number;
  /** Changes the preset that is in force at the start, for a test of its own. */
  readonly adapt?: (preset: Preset) => Preset;
}

/** Token of the operators who drive a cluster; secrets of nothing but the demo. */
export const OPERATOR_TOKENS = {
  anna: "demo-token-of-anna",
  boris: "demo-token-of-boris",
} as const;
/** An operator of a cluster. */
export type OperatorName = keyof typeof OPERATOR_TOKENS;

const PEER_TOKEN = "demo-peer-token";
const OPERATOR_TIMEOUT_MS = 10_000;

/** A running deployment. */
export class Cluster {
  readonly layout: Layout;
  /** Directory of settings and logs. */
  readonly dir: string;
  readonly #processes: Processes;
  readonly #ports: Ports;
  readonly #vms = new Map<string, Started>();
  /** Administration listeners of the targets' processes, by region. */
  readonly #targets = new Map<string, string>();
  readonly #operators = new Map<string, OperatorClient>();
  #relay = "";

  private constructor(
    parts: { layout: Layout; ports: Ports; processes: Processes; dir: string },
  ) {
    this.layout = parts.layout;
    this.dir = parts.dir;
    this.#ports = parts.ports;
    this.#processes = parts.processes;
  }

  /** Starts everything; settles when each daemon is ready. Ends it all where one fails. */
  static async start(options: ClusterOptions): Promise<Cluster> {
    const ports = await findPorts();
    const delays = DELAYS[options.deployment];
    const shipped = shippedPreset(options.deployment, "ordinary");
    const preset = options.adapt?.(shipped) ?? shipped;
    const layout = layOut({
      preset,
      delays,
      ports,
      vms: options.vms ?? 9,
      targetsPerRegion: options.targetsPerRegion ?? Infinity,
    });
    const dir = mkdtempSync(join(tmpdir(), "poplarthread-"));
    const processes = new Processes();
    const cluster = new Cluster({ layout, ports, processes, dir });
    try {
      await cluster.#startStandIns(options.deployment);
      await cluster.#fillList();
      layout.vms.forEach((vm) => cluster.#spawn(vm));
      await cluster.#putInForce(options.deployment, preset);
      await Promise.all(layout.vms.map((vm) => cluster.#waitUntilReady(vm.id)));
    } catch (err) {
      await cluster.stop({ keepLogs: true });
      throw err;
    }
    return cluster;
  }

  /** Ends all processes; keeps the logs of a run that went wrong. */
  async stop(options: { keepLogs?: boolean } = {}): Promise<void> {
    await Promise.all([...this.#operators.values()].map((op) => op.close()));
    await this.#processes.stop();
    if (options.keepLogs !== true) {
      rmSync(this.dir, { recursive: true, force: true });
    }
  }

  /** Starts the daemon of a VM again after its end; settles when it is ready. */
  async startVm(id: string): Promise<void> {
    await this.list(id, "live");
    this.#spawn(this.vm(id));
    await this.#waitUntilReady(id);
  }

  #spawn(vm: LaidVm): void {
    const file = join(this.dir, `${vm.id}.json`);
    writeFileSync(file, JSON.stringify(this.#settings(vm), undefined, 2));
    const started = this.#processes.start({
      name: vm.id,
      script: daemonScript(),
      args: ["--settings", file],
      log: join(this.dir, `${vm.id}.log`),
    });
    this.#vms.set(vm.id, started);
  }

  async #waitUntilReady(id: string): Promise<void> {
    const operator = this.operator(id);
    await waitFor(`${id} to be ready`, async () => {
      const status = await operator.status().catch(() => undefined);
      return status?.ready === true;
    });
  }

  vm(id: string): LaidVm {
    return this.layout.vms.find((vm) => vm.id === id)!;
  }

  /** The process of a VM's daemon. */
  process(id: string): Started {
    return this.#vms.get(id)!;
  }

  /** Address of a VM's listener for callers. */
  callerAddress(id: string): string {
    return `${this.vm(id).host}:${this.#ports.caller}`;
  }

  /** Base address of a VM's operator listener. */
  operatorUrl(id: string): string {
    return `http://${this.vm(id).host}:${this.#ports.operator}`;
  }

  /** A client of a VM's operator listener. */
  operator(id: string, who: OperatorName = "anna"): OperatorClient {
    const name = `${id} ${who}`;
    const known = this.#operators.get(name);
    if (known !== undefined) {
      return known;
    }
    const client = new OperatorClient({
      url: this.operatorUrl(id),
      token: OPERATOR_TOKENS[who],
      timeoutMs: OPERATOR_TIMEOUT_MS,
    });
    this.#operators.set(name, client);
    return client;
  }

  /** Callers in the place of a VM, who know the given VMs from the start. */
  callers(name: string, vmId: string, bootstrap: readonly string[]): Caller {
    return new Caller(this.callerOptions(name, vmId, bootstrap));
  }

  callerOptions(name: string, vmId: string, bootstrap: readonly string[]) {
    return {
      name,
      localAddress: addressAt(this.vm(vmId).place, CALLERS_NUMBER),
      bootstrap: bootstrap.map((id) => this.callerAddress(id)),
    };
  }

  /** Sets the platform's switches; those not named stay as they are. */
  async platformFaults(faults: Partial<Faults>): Promise<void> {
    await call(`${this.platformUrl}/faults`, "PUT", faults);
  }

  async platformCounts(): Promise<PlatformCounts> {
    return await call(`${this.platformUrl}/counts`, "GET") as PlatformCounts;
  }

  get platformUrl(): string {
    return `http://127.0.0.1:${this.#ports.platform}`;
  }

  /** Replaces the cuts between VMs; none heals all. */
  async cut(cuts: readonly Cut[]): Promise<void> {
    await call(`${this.#relay}/cut`, "POST", cuts);
  }

  /** Sets a target's switches. */
  async setTarget(
    target: string,
    switches: Partial<TargetSwitches>,
  ): Promise<void> {
    const admin = this.#adminOf(target);
    await call(`${admin}/set`, "POST", { target, switches });
  }

  /** Counts every run on a target that begins later than `afterMs` from now. */
  async expectQuiet(target: string, afterMs: number): Promise<void> {
    const admin = this.#adminOf(target);
    await call(`${admin}/quiet`, "POST", { target, afterMs });
  }

  /** What each target counted. */
  async targetCounts(): Promise<Readonly<Record<string, TargetCounts>>> {
    const parts = await this.#askTargets("counts");
    return Object.assign({}, ...parts);
  }

  /** What ran, in the processes of all targets. */
  async runs(): Promise<readonly RunsReport[]> {
    return await this.#askTargets("runs") as RunsReport[];
  }

  /** Puts a VM into the platform's list, or changes its state there. */
  async list(id: string, state: "live" | "leaving"): Promise<void> {
    const vm = this.vm(id);
    await call(`${this.platformUrl}/vms/${id}`, "PUT", {
      id,
      role: "entry",
      region: vm.region,
      zone: vm.zone,
      state,
      caller: this.callerAddress(id),
      peer: `${vm.host}:${this.#ports.peerRelay}`,
    });
  }

  /** Takes a VM out of the platform's list. */
  async unlist(id: string): Promise<void> {
    await call(`${this.platformUrl}/vms/${id}`, "DELETE");
  }

  /** Starts a process of callers; answers its administration listener. */
  async startCallers(options: unknown): Promise<string> {
    return await this.#startStandIn("caller/caller_main.js", options);
  }

  async #askTargets(operation: string): Promise<readonly unknown[]> {
    return await Promise.all(
      [...this.#targets.values()].map((admin) =>
        call(`${admin}/${operation}`, "POST", {})
      ),
    );
  }

  #adminOf(target: string): string {
    const { region } = this.layout.targets.find(({ options }) =>
      options.id === target
    )!;
    return this.#targets.get(region)!;
  }

  async #startStandIns(deployment: DeploymentName): Promise<void> {
    const { platform, peer, peerRelay } = this.#ports;
    const delays = DELAYS[deployment];
    const regions = new Set(this.layout.targets.map(({ region }) => region));
    const relayed = this.layout.vms.map(({ host }) => ({
      host,
      port: peerRelay,
      behind: peer,
    }));
    await Promise.all([
      this.#startStandIn("platform/platform_main.js", {
        host: "127.0.0.1",
        port: platform,
      }),
      this.#startStandIn("relay/relay_main.js", { relayed, delays })
        .then((admin) => this.#relay = admin),
      ...[...regions].map((region) => this.#startTargets(region)),
    ]);
  }

  async #startTargets(region: string): Promise<void> {
    const targets = this.layout.targets
      .filter((target) => target.region === region)
      .map(({ options }) => options);
    const admin = await this.#startStandIn("target/target_main.js", {
      targets,
    });
    this.#targets.set(region, admin);
  }

  async #startStandIn(script: string, options: unknown): Promise<string> {
    const { firstLine } = this.#processes.start({
      name: script,
      script: standInScript(script),
      args: [JSON.stringify(options)],
    });
    return (JSON.parse(await firstLine) as ReadyLine).admin;
  }

  /** The first preset, and the others to switch to, as an operator makes them. */
  async #putInForce(deployment: DeploymentName, preset: Preset): Promise<void> {
    const operator = this.operator(this.layout.vms[0]!.id);
    await putFirstInForce(operator, preset);
    const others = PRESETS.filter((name) => name !== preset.id)
      .map((name) => shippedPreset(deployment, name));
    for (const other of others) {
      await makeChange(operator, {
        change: { kind: "edit", preset: other },
        why: "as shipped",
      });
    }
  }

  /** What the platform lists and the daemons read before the first of them starts. */
  async #fillList(): Promise<void> {
    await Promise.all(
      this.layout.targets.map((target) =>
        call(`${this.platformUrl}/vms/${target.options.id}`, "PUT", {
          id: target.options.id,
          role: "target",
          region: target.region,
          zone: target.zone,
          state: "live",
          service: target.service,
          address: `${target.options.host}:${target.options.port}`,
        })
      ),
    );
    await Promise.all(this.layout.vms.map(({ id }) => this.list(id, "live")));
    writeFileSync(join(this.dir, "anna.token"), `${OPERATOR_TOKENS.anna}\n`);
    writeFileSync(
      join(this.dir, "operators.json"),
      JSON.stringify(OPERATOR_TOKENS),
    );
    writeFileSync(join(this.dir, "peer.token"), `${PEER_TOKEN}\n`);
  }

  #settings(vm: LaidVm): unknown {
    const { host } = vm;
    return {
      vm: vm.id,
      region: vm.region,
      zone: vm.zone,
      listen: {
        caller: { host, port: this.#ports.caller },
        operator: { host, port: this.#ports.operator },
        peer: { host, port: this.#ports.peer },
      },
      platform: { url: this.platformUrl },
      secrets: {
        operatorTokensFile: join(this.dir, "operators.json"),
        peerTokenFile: join(this.dir, "peer.token"),
      },
    };
  }
}
