/**
 * The demo: one deployment under load, with an edit, a switch, a drain, a
 * planned stop, a kill and an outage of the platform while it runs.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import { id, type PresetId } from "@poplarthread/ids";
import type { Caller } from "../caller/caller.ts";
import { MIXES, type RequestKind } from "../caller/request_kind.ts";
import { increment, type ResultsReport } from "../caller/results.ts";
import { call } from "../cluster/call.ts";
import { Cluster } from "../cluster/cluster.ts";
import type { Wanted } from "../cluster/operate.ts";
import { reconcile, sum, sumCounts } from "../cluster/ledger.ts";
import { type DeploymentName, shippedPreset } from "../presets.ts";
import { type Accepted, change } from "./operate.ts";
import {
  brokenPoints,
  countOutcome,
  type Events,
  missingEvents,
  type Report,
} from "./points.ts";

/** Requests a second of all callers together; a few percent of what the targets carry. */
const LOAD_PER_SECOND = 120;
/** Names that callers in one place use. */
const CALLER_NAMES = 20;
/** Load before the first event, so that every kind has been served. */
const SETTLE_MS = 3_000;
/** A leaving target receives no new work after a few seconds. */
const DRAIN_GRACE_MS = 4_000;
/** Requests in flight through a VM when it is stopped or killed, and their work. */
const SLOW_REQUESTS = 5;
const SLOW_WORK_MS = 2_000;
/** How far the slow requests have got when the VM ends. */
const SLOW_HEAD_START_MS = 700;
/** Longest planned stop: the look-up's lifetime, the slow work, and a margin for a busy machine. */
const PLANNED_STOP_BOUND_MS = 30_000;
const OUTAGE_MS = 4_000;
/** The list follows the end of a VM as late as this. */
const LIST_LAG_MS = 1_000;

/** One run of the demo. */
export class Demo {
  readonly #deployment: DeploymentName;
  readonly #cluster: Cluster;
  readonly #startedAt = performance.now();
  readonly #vms: string[];
  readonly #callers: string;
  readonly #own: Caller[] = [];
  readonly #changes: Accepted[] = [];

  private constructor(
    deployment: DeploymentName,
    parts: { cluster: Cluster; callers: string },
  ) {
    this.#deployment = deployment;
    this.#cluster = parts.cluster;
    this.#callers = parts.callers;
    this.#vms = parts.cluster.layout.vms.map((vm) => vm.id);
  }

  /** Starts a deployment and its callers. */
  static async start(deployment: DeploymentName): Promise<Demo> {
    const cluster = await Cluster.start({ deployment });
    const callers = await cluster.startCallers(groupsOf(cluster, deployment));
    const demo = new Demo(deployment, { cluster, callers });
    demo.#say(`${demo.#vms.length} daemons serve ${deployment}`);
    return demo;
  }

  get cluster(): Cluster {
    return this.#cluster;
  }

  /** Plays all events and reports. */
  async run(): Promise<Report> {
    await sleep(SETTLE_MS);
    await this.#editAndSwitch();
    const drained = await this.#drainTarget();
    const planned = this.#plannedStop("entry-" + this.#region(1) + "-3");
    const killed = await this.#kill("entry-" + this.#region(2) + "-1");
    const stopped = await planned;
    const outage = await this.#outage();
    await call(`${this.#callers}/stop`, "POST", {});
    this.#say("all callers have their last answers");
    return await this.#report({
      inForceSeconds: Math.max(...this.#changes.map(({ seconds }) => seconds)),
      changes: this.#changes.length,
      unconfirmed: sum(
        this.#changes.map(({ unconfirmed }) => unconfirmed.length),
      ),
      drained: await this.#drainCounts(drained),
      planned: { ...stopped, cut: await this.#countCut(stopped) },
      killed,
      outage,
    });
  }

  /** Ends every process. */
  async stop(options: { keepLogs: boolean }): Promise<void> {
    await Promise.all(this.#own.map((caller) => caller.close()));
    await this.#cluster.stop(options);
  }

  async #editAndSwitch(): Promise<void> {
    const ordinary = shippedPreset(this.#deployment, "ordinary");
    const edited = { ...ordinary, retryShare: ordinary.retryShare / 2 };
    await this.#change(0, {
      change: { kind: "edit", preset: edited },
      why: "fewer retries",
    });
    await this.#change(1, {
      change: { kind: "switch", preset: id<PresetId>("peak") },
      why: "the peak begins",
    });
  }

  async #drainTarget(): Promise<{ target: string; before: number }> {
    const target = this.#cluster.layout.targets[0]!.options.id;
    const before = (await this.#cluster.targetCounts())[target]!.runs;
    await this.#cluster.expectQuiet(target, DRAIN_GRACE_MS);
    await this.#change(2, {
      change: { kind: "drain", subject: { kind: "target", id: target } },
      why: "planned work on the target",
    });
    return { target, before };
  }

  async #change(
    via: number,
    wanted: Wanted,
  ): Promise<void> {
    const vm = this.#vms[via % this.#vms.length]!;
    const accepted = await change(this.#cluster, vm, {
      wanted,
      vms: this.#vms,
    });
    this.#changes.push(accepted);
    const late = accepted.unconfirmed.length === 0
      ? ""
      : `, not on ${accepted.unconfirmed.join(", ")}`;
    this.#say(
      `${wanted.change.kind} accepted by ${vm}: revision ${accepted.revision} ` +
        `in force after ${accepted.seconds.toFixed(2)} s${late}`,
    );
  }

  async #plannedStop(vm: string): Promise<Stopped> {
    const { caller, slow } = await this.#sendSlow(vm);
    const startedAt = performance.now();
    const process = this.#cluster.process(vm);
    process.signal("SIGTERM");
    this.#say(`planned stop of ${vm}, ${SLOW_REQUESTS} requests in flight`);
    this.#remove(vm);
    const timeout = new AbortController();
    const exit = await Promise.race([
      process.exited,
      sleep(PLANNED_STOP_BOUND_MS, undefined, { signal: timeout.signal }),
    ]);
    timeout.abort();
    const seconds = (performance.now() - startedAt) / 1_000;
    const results = await slow;
    const cut = results.filter(({ attempts }) =>
      attempts[0]!.kind !== "served"
    );
    await this.#cluster.unlist(vm);
    this.#say(
      `${vm} ended after ${seconds.toFixed(1)} s with ${
        exit?.code ?? "no code"
      }`,
    );
    return {
      vm,
      inFlight: caller.results.requests,
      slowCut: cut.length,
      exitCode: exit?.code ?? null,
      seconds,
    };
  }

  async #kill(vm: string): Promise<Events["killed"]> {
    const { slow } = await this.#sendSlow(vm);
    this.#cluster.process(vm).signal("SIGKILL");
    this.#remove(vm);
    this.#say(`kill of ${vm}, ${SLOW_REQUESTS} requests in flight`);
    await sleep(LIST_LAG_MS);
    await this.#cluster.unlist(vm);
    const results = await slow;
    const settled = results.filter(({ outcome, attempts }) =>
      attempts[0]!.kind === "broken" &&
      (outcome === "served" || outcome === "unknown")
    );
    const outcomes: Record<string, number> = {};
    results.forEach(({ outcome }) => increment(outcomes, outcome));
    this.#say(`their callers sent them again: ${JSON.stringify(outcomes)}`);
    return { inFlight: results.length, settled: settled.length };
  }

  async #outage(): Promise<Events["outage"]> {
    const vm = this.#vms[0]!;
    const caller = this.#caller("outage", vm);
    await this.#cluster.platformFaults({ store: "down", list: "down" });
    this.#say("the platform is away");
    const until = performance.now() + OUTAGE_MS;
    let refusedNotRun = 0;
    let readsServed = 0;
    while (performance.now() < until) {
      const order = await caller.send(this.#kind("keyed"));
      const read = await caller.send(this.#kind("idempotent"));
      refusedNotRun += order.outcome === "refused-not-run" ? 1 : 0;
      readsServed += read.outcome === "served" ? 1 : 0;
      await sleep(100);
    }
    await this.#cluster.platformFaults({ store: "none", list: "none" });
    this.#say(
      `the platform is back; meanwhile ${refusedNotRun} orders of one caller ` +
        `were refused as not run and ${readsServed} reads served`,
    );
    const servedAfter = await this.#orderUntilServed(caller);
    return { refusedNotRun, readsServed, servedAfter };
  }

  /** Sends orders until one is served; answers how many were, 0 when time is up. */
  async #orderUntilServed(caller: Caller): Promise<number> {
    const startedAt = performance.now();
    while (performance.now() - startedAt < PLANNED_STOP_BOUND_MS / 2) {
      const order = await caller.send(this.#kind("keyed"));
      if (order.outcome === "served") {
        const ms = Math.round(performance.now() - startedAt);
        this.#say(`orders are served again ${ms} ms later`);
        return 1;
      }
      await sleep(100);
    }
    return 0;
  }

  /** Sends slow orders through a VM and waits until they are under way. */
  async #sendSlow(vm: string) {
    const caller = this.#caller(`slow-${vm}`, vm);
    const kind = { ...this.#kind("keyed"), workMs: SLOW_WORK_MS };
    const via = this.#cluster.callerAddress(vm);
    const slow = Promise.all(
      Array.from({ length: SLOW_REQUESTS }, () => caller.send(kind, { via })),
    );
    await sleep(SLOW_HEAD_START_MS);
    return { caller, slow };
  }

  #caller(name: string, vm: string): Caller {
    const caller = this.#cluster.callers(name, vm, this.#vms);
    this.#own.push(caller);
    return caller;
  }

  #kind(repeat: RequestKind["repeat"]): RequestKind {
    return MIXES[this.#deployment].find((kind) => kind.repeat === repeat)!;
  }

  #region(index: number): string {
    return shippedPreset(this.#deployment, "ordinary").regions[index]!.id;
  }

  #remove(vm: string): void {
    this.#vms.splice(this.#vms.indexOf(vm), 1);
  }

  async #drainCounts(
    { target, before }: { target: string; before: number },
  ): Promise<Events["drained"]> {
    const counts = (await this.#cluster.targetCounts())[target]!;
    return { before, after: counts.runsWhileQuiet };
  }

  /** Connections that broke after a request was sent to the VM stopped as planned. */
  async #countCut({ vm, slowCut }: Stopped): Promise<number> {
    const address = this.#cluster.callerAddress(vm);
    const results = await this.#groupResults();
    const broken = results.map((report) => report.brokenByVm[address] ?? 0);
    return sum(broken) + slowCut;
  }

  async #groupResults(): Promise<readonly ResultsReport[]> {
    return await call(
      `${this.#callers}/results`,
      "POST",
      {},
    ) as ResultsReport[];
  }

  async #report(events: Events): Promise<Report> {
    const groups = await this.#groupResults();
    const own = this.#own.map((caller) => caller.results.report());
    const all = [...groups, ...own];
    const ledger = reconcile(await this.#cluster.runs(), all);
    const kinds = MIXES[this.#deployment].map(({ name }) => name);
    return {
      deployment: this.#deployment,
      requests: sum(all.map((report) => report.requests)),
      served: countOutcome(all, "served"),
      refusedNotRun: countOutcome(all, "refused-not-run"),
      refused: countOutcome(all, "refused"),
      outcomeUnknown: countOutcome(all, "unknown"),
      unreachable: countOutcome(all, "unreachable"),
      ...ledger,
      cutByPlannedStop: events.planned.cut,
      inForceSeconds: round(events.inForceSeconds),
      runsOnDrainedTarget: events.drained.after,
      plannedStopSeconds: round(events.planned.seconds),
      servedByKind: total(all.map((report) => report.servedByKind)),
      statuses: total(all.map((report) => report.statuses)),
      repeats: {
        sent: sum(all.map((report) => report.repeats.sent)),
        served: sum(all.map((report) => report.repeats.served)),
      },
      notRunAfterUnknown: sum(all.map((report) => report.notRunAfterUnknown)),
      latencyMs: worst(groups),
      seconds: round((performance.now() - this.#startedAt) / 1_000),
      broken: brokenPoints(ledger, events),
      notExercised: missingEvents(groups, kinds, events),
    };
  }

  #say(text: string): void {
    const seconds = (performance.now() - this.#startedAt) / 1_000;
    console.log(`${seconds.toFixed(1).padStart(5)} s  ${text}`);
  }
}

/** A VM that was stopped as planned. */
interface Stopped {
  readonly vm: string;
  readonly inFlight: number;
  readonly slowCut: number;
  readonly exitCode: number | null;
  readonly seconds: number;
}

/** One group of callers in each zone; each knows the VMs of its region from the start. */
function groupsOf(cluster: Cluster, deployment: DeploymentName) {
  const { vms } = cluster.layout;
  const zones = new Map(vms.map((vm) => [vm.zone, vm]));
  const groups = [...zones.values()].map((vm, index) => ({
    caller: cluster.callerOptions(
      vm.zone,
      vm.id,
      vms.filter(({ region }) => region === vm.region).map((near) => near.id),
    ),
    load: {
      mix: MIXES[deployment],
      perSecond: LOAD_PER_SECOND / zones.size,
      names: CALLER_NAMES,
      seed: index + 1,
    },
  }));
  return { groups };
}

function total(
  parts: readonly Readonly<Record<string, number>>[],
): Record<string, number> {
  return Object.fromEntries(sumCounts(parts));
}

/** The worst place's percentiles: an average over places would hide it. */
function worst(results: readonly ResultsReport[]) {
  return {
    p50: Math.max(...results.map(({ latencyMs }) => latencyMs.p50)),
    p99: Math.max(...results.map(({ latencyMs }) => latencyMs.p99)),
  };
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
