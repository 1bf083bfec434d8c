/**
 * A deployment as separate processes on loopback addresses: the platform, the
 * TCP relay between the VMs, the targets (one process per region) and the daemons.
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
import {
  type DeploymentName,
  PRESET_NAMES,
  readShippedPreset,
} from "../presets.ts";
import type { Partition } from "../relay/relay.ts";
import type { RunsReport } from "../target/run_counter.ts";
import type { TargetCounts, TargetSwitches } from "../target/switches.ts";
import { call } from "./call.ts";
import {
  CALLER_HOST_NUMBER,
  createLayout,
  DELAYS_BY_DEPLOYMENT,
  type Layout,
  type VmLayout,
} from "./layout.ts";
import { makeChange, writeFirstPreset } from "./operator_changes.ts";
import { findFreePorts, type Ports } from "./ports.ts";
import { Processes, type StartedProcess } from "./processes.ts";
import { daemonScript, standInScript } from "./scripts.ts";
import { waitFor } from "./wait.ts";

/** Options of a {@link Cluster}. */
export interface ClusterOptions {
  readonly deployment: DeploymentName;
  /** Number of entry VMs; 9 by default, as in the deployments. */
  readonly vms?: number;
  /** Largest number of targets per service and region; unlimited by default. */
  readonly maxTargetsPerRegion?: number;
  /** Returns a modified copy of the preset that is initially in force. */
  readonly adaptPreset?: (preset: Preset) => Preset;
}

/** Tokens of the operators of a cluster; used only for tests and demos. */
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
  readonly #daemons = new Map<string, StartedProcess>();
  /** Administration URLs of the target processes, by region. */
  readonly #targetAdminUrls = new Map<string, string>();
  readonly #operators = new Map<string, OperatorClient>();
  #relayAdminUrl = "";

  private constructor(
    parts: { layout: Layout; ports: Ports; processes: Processes; dir: string },
  ) {
    this.layout = parts.layout;
    this.dir = parts.dir;
    this.#ports = parts.ports;
    this.#processes = parts.processes;
  }

  /** Starts all processes and waits until each daemon is ready; stops them all if one fails. */
  static async start(options: ClusterOptions): Promise<Cluster> {
    const ports = await findFreePorts();
    const delays = DELAYS_BY_DEPLOYMENT[options.deployment];
    const shipped = readShippedPreset(options.deployment, "ordinary");
    const preset = options.adaptPreset?.(shipped) ?? shipped;
    const layout = createLayout({
      preset,
      delays,
      ports,
      vms: options.vms ?? 9,
      maxTargetsPerRegion: options.maxTargetsPerRegion ?? Infinity,
    });
    const dir = mkdtempSync(join(tmpdir(), "poplarthread-"));
    const processes = new Processes();
    const cluster = new Cluster({ layout, ports, processes, dir });
    try {
      await cluster.#startStandIns(options.deployment);
      await cluster.#prepareForDaemons();
      layout.vms.forEach((vm) => cluster.#startDaemon(vm));
      await cluster.#writePresets(options.deployment, preset);
      await Promise.all(layout.vms.map((vm) => cluster.#waitUntilReady(vm.id)));
    } catch (err) {
      await cluster.stop({ keepLogs: true });
      throw err;
    }
    return cluster;
  }

  /** Stops all processes; deletes settings and logs unless `keepLogs` is true. */
  async stop(options: { keepLogs?: boolean } = {}): Promise<void> {
    await Promise.all(
      [...this.#operators.values()].map((client) => client.close()),
    );
    await this.#processes.stop();
    if (options.keepLogs !== true) {
      rmSync(this.dir, { recursive: true, force: true });
    }
  }

  /** Restarts the daemon of a VM after it has exited, and waits until it is ready. */
  async startVm(id: string): Promise<void> {
    await this.registerVm(id, "live");
    this.#startDaemon(this.vm(id));
    await this.#waitUntilReady(id);
  }

  #startDaemon(vm: VmLayout): void {
    const file = join(this.dir, `${vm.id}.json`);
    writeFileSync(file, JSON.stringify(this.#settings(vm), undefined, 2));
    const started = this.#processes.start({
      name: vm.id,
      script: daemonScript(),
      args: ["--settings", file],
      log: join(this.dir, `${vm.id}.log`),
    });
    this.#daemons.set(vm.id, started);
  }

  async #waitUntilReady(id: string): Promise<void> {
    const operator = this.operator(id);
    await waitFor(`${id} to be ready`, async () => {
      const status = await operator.status().catch(() => undefined);
      return status?.ready === true;
    });
  }

  vm(id: string): VmLayout {
    return this.layout.vms.find((vm) => vm.id === id)!;
  }

  /** Returns the daemon process of a VM. */
  daemon(id: string): StartedProcess {
    return this.#daemons.get(id)!;
  }

  /** Returns the address of a VM's listener for callers. */
  callerAddress(id: string): string {
    return `${this.vm(id).host}:${this.#ports.caller}`;
  }

  /** Returns the base URL of a VM's operator listener. */
  operatorUrl(id: string): string {
    return `http://${this.vm(id).host}:${this.#ports.operator}`;
  }

  /** Returns a client for a VM's operator listener. */
  operator(id: string, operatorName: OperatorName = "anna"): OperatorClient {
    const name = `${id} ${operatorName}`;
    const existing = this.#operators.get(name);
    if (existing !== undefined) {
      return existing;
    }
    const client = new OperatorClient({
      url: this.operatorUrl(id),
      token: OPERATOR_TOKENS[operatorName],
      timeoutMs: OPERATOR_TIMEOUT_MS,
    });
    this.#operators.set(name, client);
    return client;
  }

  /** Creates callers at the location of VM `vmId`; `bootstrap` lists the VMs for their first look-up. */
  createCaller(
    name: string,
    vmId: string,
    bootstrap: readonly string[],
  ): Caller {
    return new Caller(this.callerOptions(name, vmId, bootstrap));
  }

  callerOptions(name: string, vmId: string, bootstrap: readonly string[]) {
    return {
      name,
      localAddress: addressAt(this.vm(vmId).location, CALLER_HOST_NUMBER),
      bootstrap: bootstrap.map((id) => this.callerAddress(id)),
    };
  }

  /** Sets the given faults of the platform and leaves the others unchanged. */
  async setPlatformFaults(faults: Partial<Faults>): Promise<void> {
    await call(`${this.platformUrl}/faults`, "PUT", faults);
  }

  async readPlatformCounts(): Promise<PlatformCounts> {
    return await call(`${this.platformUrl}/counts`, "GET") as PlatformCounts;
  }

  get platformUrl(): string {
    return `http://127.0.0.1:${this.#ports.platform}`;
  }

  /** Replaces all network partitions between VMs; an empty list heals them. */
  async setPartitions(partitions: readonly Partition[]): Promise<void> {
    await call(`${this.#relayAdminUrl}/cut`, "POST", partitions);
  }

  /** Sets the given switches of a target and leaves the others unchanged. */
  async setTargetSwitches(
    target: string,
    switches: Partial<TargetSwitches>,
  ): Promise<void> {
    const adminUrl = this.#targetAdminUrl(target);
    await call(`${adminUrl}/set`, "POST", { target, switches });
  }

  /** Makes a target count each run that begins more than `afterMs` from now in `runsWhileQuiet`. */
  async expectNoRuns(target: string, afterMs: number): Promise<void> {
    const adminUrl = this.#targetAdminUrl(target);
    await call(`${adminUrl}/quiet`, "POST", { target, afterMs });
  }

  /** Returns the counts of each target by its id. */
  async readTargetCounts(): Promise<Readonly<Record<string, TargetCounts>>> {
    const parts = await this.#callTargets("counts");
    return Object.assign({}, ...parts);
  }

  /** Returns the run counts of each target process. */
  async readRuns(): Promise<readonly RunsReport[]> {
    return await this.#callTargets("runs") as RunsReport[];
  }

  /** Adds a VM to the platform's VM list, or updates its state there. */
  async registerVm(id: string, state: "live" | "leaving"): Promise<void> {
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

  /** Removes a VM from the platform's VM list. */
  async unregisterVm(id: string): Promise<void> {
    await call(`${this.platformUrl}/vms/${id}`, "DELETE");
  }

  /** Starts a process of callers and returns its administration URL. */
  async startCallers(options: unknown): Promise<string> {
    return await this.#startStandIn("caller/caller_main.js", options);
  }

  async #callTargets(operation: string): Promise<readonly unknown[]> {
    return await Promise.all(
      [...this.#targetAdminUrls.values()].map((adminUrl) =>
        call(`${adminUrl}/${operation}`, "POST", {})
      ),
    );
  }

  #targetAdminUrl(target: string): string {
    const { region } = this.layout.targets.find(({ options }) =>
      options.id === target
    )!;
    return this.#targetAdminUrls.get(region)!;
  }

  async #startStandIns(deployment: DeploymentName): Promise<void> {
    const { platform, peer, peerRelay } = this.#ports;
    const delays = DELAYS_BY_DEPLOYMENT[deployment];
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
        .then((adminUrl) => this.#relayAdminUrl = adminUrl),
      ...[...regions].map((region) => this.#startTargets(region)),
    ]);
  }

  async #startTargets(region: string): Promise<void> {
    const targets = this.layout.targets
      .filter((target) => target.region === region)
      .map(({ options }) => options);
    const adminUrl = await this.#startStandIn("target/target_main.js", {
      targets,
    });
    this.#targetAdminUrls.set(region, adminUrl);
  }

  async #startStandIn(script: string, options: unknown): Promise<string> {
    const { firstLine } = this.#processes.start({
      name: script,
      script: standInScript(script),
      args: [JSON.stringify(options)],
    });
    return (JSON.parse(await firstLine) as ReadyLine).admin;
  }

  /** Puts the first preset in force as an operator, and stores the others for later switches. */
  async #writePresets(
    deployment: DeploymentName,
    preset: Preset,
  ): Promise<void> {
    const operator = this.operator(this.layout.vms[0]!.id);
    await writeFirstPreset(operator, preset);
    const others = PRESET_NAMES.filter((name) => name !== preset.id)
      .map((name) => readShippedPreset(deployment, name));
    for (const other of others) {
      await makeChange(operator, {
        change: { kind: "edit", preset: other },
        why: "as shipped",
      });
    }
  }

  /** Fills the platform's VM list and writes the token files that the daemons read. */
  async #prepareForDaemons(): Promise<void> {
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
    await Promise.all(
      this.layout.vms.map(({ id }) => this.registerVm(id, "live")),
    );
    writeFileSync(join(this.dir, "anna.token"), `${OPERATOR_TOKENS.anna}\n`);
    writeFileSync(
      join(this.dir, "operators.json"),
      JSON.stringify(OPERATOR_TOKENS),
    );
    writeFileSync(join(this.dir, "peer.token"), `${PEER_TOKEN}\n`);
  }

  #settings(vm: VmLayout): unknown {
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
