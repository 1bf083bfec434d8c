/**
 * Constructs a daemon: creates its tasks, connects them and puts them under
 * supervision.
 *
 * @module
 */

import { randomBytes } from "node:crypto";
import type { Configuration, Settings } from "@poplarthread/config";
import {
  ConfigurationStore,
  type MembershipEffect,
  RequestClaims,
} from "@poplarthread/coordination";
import type { Plan } from "@poplarthread/decisions";
import type { InstanceId, TargetId, VmId } from "@poplarthread/ids";
import { Backend } from "./backend.ts";
import { ClaimSweepTask } from "./claim_sweep_task.ts";
import { ConfigurationAdmin } from "./configuration_admin.ts";
import { ConfigurationTask } from "./configuration_task.ts";
import { CrashWatch } from "./crash_watch.ts";
import { Demand } from "./demand.ts";
import { messageOf } from "./errors.ts";
import { Facts, type FactUpdate } from "./facts.ts";
import { FleetTask, type FleetView } from "./fleet.ts";
import {
  regionStates,
  sharedConnections,
  targetsToPlan,
  toTargetEntries,
  toVmEntries,
} from "./fleet_entries.ts";
import { CallerListener, type RoutingView } from "./http/caller_listener.ts";
import { DeadlineWheel } from "./http/deadline_wheel.ts";
import type { ExchangeServices } from "./http/exchange.ts";
import { TableClaims } from "./http/keyed_claims.ts";
import { RouteTable } from "./http/routes.ts";
import { TargetPools } from "./http/target_pools.ts";
import type { InForceJson } from "./in_force_value.ts";
import { createLog, type Log } from "./log.ts";
import { Lookups } from "./lookups.ts";
import { MembershipTask } from "./membership_task.ts";
import { Metrics } from "./metrics.ts";
import { OperatorTokens } from "./operator/mod.ts";
import { createProbes, OperatorTask } from "./operator_task.ts";
import { Outages } from "./outages.ts";
import type { PeerId, PeerNotification } from "./peers/messages.ts";
import { PeerNetwork } from "./peers/peer_network.ts";
import { PeerQueries } from "./peer_queries.ts";
import type { PlanInputs } from "./planning.ts";
import { PlanTask } from "./plan_task.ts";
import { runPlannedStop } from "./planned_stop.ts";
import { type ListedVm, PlatformClient } from "./platform_client.ts";
import { Revisions } from "./revisions.ts";
import { SlotLoans } from "./slot_loans.ts";
import { type PeerEffect, SteeringTask } from "./steering_task.ts";
import { Supervisor } from "./supervisor.ts";
import { TargetPoller, type TargetReport } from "./target_poller.ts";
import type { SupervisedTask } from "./task.ts";
import { VmListTask } from "./vm_list_task.ts";

/** Contents of the secret files that the settings name. */
export interface Secrets {
  /** Content of the operators' tokens file. */
  readonly operatorTokens: string;
  readonly peerToken: string;
}

/** A running daemon. */
export interface Daemon {
  readonly instance: InstanceId;
  /** Ports of the listeners, including those that the operating system chose. */
  readonly ports: {
    readonly caller: number;
    readonly operator: number;
    readonly peer: number;
  };
  /** Resolves when a configuration is in force and the VM list and a plan are known. */
  readonly ready: Promise<void>;
  /** Resolves with the error when the daemon cannot continue. */
  readonly failed: Promise<unknown>;
  /** Runs the planned stop; resolves when everything is closed. */
  stop(): Promise<void>;
  /** Stops at once and aborts the requests in flight. For tests. */
  kill(): Promise<void>;
}

/** A reader polls the list ten times in this period. */
const MAX_LIST_AGE_MS = 5_000;
/** Starts a daemon; resolves when its listeners accept connections. */
export async function startDaemon(
  settings: Settings,
  secrets: Secrets,
): Promise<Daemon> {
  const wiring = new Wiring(settings, secrets);
  await wiring.start();
  return wiring;
}

class Wiring implements Daemon {
  readonly instance: InstanceId;
  readonly ready: Promise<void>;
  readonly failed: Promise<unknown>;
  readonly #settings: Settings;
  readonly #self: PeerId;
  readonly #log: Log;
  readonly #metrics = new Metrics();
  readonly #outages: Outages;
  readonly #platform: PlatformClient;
  readonly #wheel = new DeadlineWheel(performance.now());
  readonly #lookups = new Lookups();
  readonly #revisions = new Revisions();
  readonly #demand = new Demand();
  readonly #pools: TargetPools;
  readonly #claims: RequestClaims;
  readonly #fleet: FleetTask;
  readonly #steering: SteeringTask;
  readonly #crashes: CrashWatch;
  readonly #poller: TargetPoller;
  readonly #callers: CallerListener;
  readonly #peers: PeerNetwork;
  readonly #queries: PeerQueries;
  readonly #membership: MembershipTask;
  readonly #facts: Facts;
  readonly #loans: SlotLoans;
  readonly #configuration: ConfigurationTask;
  readonly #vmList: VmListTask;
  readonly #plan: PlanTask;
  readonly #sweep: ClaimSweepTask;
  readonly #operator: OperatorTask;
  readonly #root: Supervisor;
  #routing: RoutingView | undefined;
  #leaving = false;
  #appliedPlanSequence = 0;
  #resolveReady: () => void = () => undefined;
  #resolveFailed: (err: unknown) => void = () => undefined;

  constructor(settings: Settings, secrets: Secrets) {
    const { vm, region, zone, listen } = settings;
    this.#settings = settings;
    const instanceSuffix = randomBytes(6).toString("hex");
    this.instance = `${vm}.${instanceSuffix}` as InstanceId;
    this.#self = { vm, instance: this.instance };
    this.ready = new Promise((resolve) => this.#resolveReady = resolve);
    this.failed = new Promise((resolve) => this.#resolveFailed = resolve);
    this.#log = createLog({
      level: settings.log.level,
      vm,
      instance: this.instance,
    });
    this.#outages = new Outages(this.#metrics, this.#log);
    const localAddress = listen.caller.host;
    this.#platform = new PlatformClient({
      ...settings.platform,
      outages: this.#outages,
    });
    this.#pools = new TargetPools({ localAddress });
    this.#claims = new RequestClaims({
      table: this.#platform,
      instance: this.instance,
      holders: {
        ask: ({ instance, claim, attempt }, waitMs) =>
          this.#queries.queryHolder({ instance, claim, attempt }, waitMs),
      },
    });
    const seed = randomBytes(4).readInt32LE();
    const self = { ...this.#self, region, zone };
    this.#fleet = new FleetTask({
      self: vm,
      onView: (view) => this.#onView(view),
    });
    this.#steering = new SteeringTask({
      self: vm,
      seed,
      onPeerEffect: (effect) => this.#onPeerEffect(effect),
      onStarted: () => this.#updateSteering(),
    });
    this.#crashes = new CrashWatch({
      publish: (message) => this.#facts.publishHeldBack(message),
      onEnded: (attempt, end) => {
        this.#metrics.attemptEnded(end);
        if (attempt.targetLeaving) {
          this.#facts.publishLeaving(attempt.target);
        }
      },
    });
    this.#poller = new TargetPoller({
      poolOf: (target) => this.#pools.get(target),
      onReport: (report) => this.#onReport(report),
    });
    this.#callers = new CallerListener({
      settings,
      idPrefix: `${vm}-${instanceSuffix}`,
      lookups: this.#lookups,
      metrics: this.#metrics,
      services: this.#exchangeServices(),
      routing: () => this.#routing,
      onTick: (now) => this.#steering.tick(now),
    });
    this.#peers = new PeerNetwork({
      self: this.#self,
      token: secrets.peerToken,
      host: listen.peer.host,
      port: listen.peer.port,
      handler: {
        handleNotification: (from, notice) => this.#onPeerNotice(from, notice),
        claim: (_from, { question, waitMs }) =>
          this.#claims.handleHolderQuery(question, waitMs),
        known: () => ({
          ...this.#configuration.known,
          ...this.#plan.known,
          lenders: this.#loans.lenders,
        }),
      },
      metrics: this.#metrics,
      log: this.#log,
    });
    this.#queries = new PeerQueries({
      self,
      fleet: this.#fleet,
      peers: this.#peers,
      onPlan: (stored) => this.#plan.send({ kind: "known", stored }),
    });
    this.#membership = new MembershipTask({
      self,
      address: `${listen.peer.host}:${listen.peer.port}`,
      seed,
      send: (to, address, params) =>
        this.#peers.send({
          kind: "send",
          to,
          address,
          notice: { method: "membership", params },
        }),
      onEffect: (effect) => this.#onMembership(effect),
    });
    this.#facts = new Facts({
      self: vm,
      publish: (fact) => this.#membership.send({ kind: "publish", fact }),
      onFact: (update) => this.#onFact(update),
    });
    this.#loans = new SlotLoans({
      instance: this.instance,
      send: (to, params) => this.#sendToPeer(to, { method: "slots", params }),
      steer: (event) => this.#steering.send(event),
    });
    this.#configuration = new ConfigurationTask({
      self,
      store: new ConfigurationStore<InForceJson>(this.#platform),
      send: (to, params) =>
        this.#sendToPeer(to, { method: "configuration", params }),
      queryPeers: () => this.#queries.queryNearest(),
      onAdopted: (configuration) => this.#onAdopted(configuration),
      onReader: (reader) => this.#vmList.send({ kind: "reader", reader }),
      log: this.#log,
    });
    this.#vmList = new VmListTask({
      platform: this.#platform,
      onList: (vms) => this.#onList(vms),
    });
    this.#plan = new PlanTask({
      self,
      table: this.#platform,
      inputs: () => this.#planInputs(),
      localReport: () => ({
        sequence: this.#appliedPlanSequence,
        demand: this.#demand.means(performance.now()),
        lenders: this.#loans.lenders,
      }),
      report: (to, params) =>
        this.#sendToPeer(to, { method: "planner-report", params }),
      send: (to, params) => this.#sendToPeer(to, { method: "plan", params }),
      sendTerm: (to, params) =>
        this.#sendToPeer(to, { method: "term", params }),
      fetchPlanFrom: (vm) => void this.#queries.queryKnown([vm]),
      queryAll: () => this.#queries.queryListed(),
      onPlan: (plan, validMs) => this.#onPlan(plan, validMs),
      log: this.#log,
    });
    this.#sweep = new ClaimSweepTask(this.#platform, {
      isSweeper: () => this.#plan.planning,
    });
    this.#operator = this.#operatorTask(secrets);
    this.#root = this.#supervise();
  }

  get ports(): Daemon["ports"] {
    return {
      caller: this.#callers.port,
      operator: this.#operator.port,
      peer: this.#peers.port,
    };
  }

  async start(): Promise<void> {
    await this.#root.start({
      failed: (_task: SupervisedTask, err: unknown) => this.#resolveFailed(err),
    });
    // Membership reports its first members before the tasks that need them have
    // started.
    this.#updateMembers();
  }

  async stop(): Promise<void> {
    await runPlannedStop({
      announce: () => this.#announceLeaving(),
      lifetimeMs: () => this.#inForce?.preset.lookup.lifetimeMs ?? 0,
      longestDeadlineMs: () =>
        Math.max(
          0,
          ...this.#inForce?.preset.routes.map((one) => one.deadlineMs) ?? [],
        ),
      closeConnectionsAfterResponse: () =>
        this.#callers.send({ kind: "end-kept" }),
      stopAccepting: () => this.#callers.send({ kind: "drain" }),
      waitForRequests: () => this.#callers.whenIdle(),
      pendingOutcomes: () => this.#claims.pending,
      release: async () => {
        this.#loans.send({ kind: "return-all" });
        await this.kill();
      },
    }, this.#log);
  }

  async kill(): Promise<void> {
    await this.#root.stop();
    this.#claims.close();
    await this.#pools.close();
    await this.#platform.close();
  }

  get #inForce(): Configuration | undefined {
    return this.#configuration.inForce;
  }

  #supervise(): Supervisor {
    const listener = {
      taskFailed: (task: string, err: unknown) =>
        this.#log.error("task failed", { task, reason: messageOf(err) }),
      taskRestarted: (task: string) => {
        this.#metrics.restarts.inc({ task });
        this.#log.info("task restarted", { task });
      },
    };
    const group = (name: string, tasks: readonly SupervisedTask[]) => {
      const supervisor = new Supervisor(name, { listener });
      tasks.forEach((task) => supervisor.add(task));
      return supervisor;
    };
    // In order of dependency: each group uses the groups before it.
    return group("daemon", [
      group("state", [this.#fleet, this.#steering, this.#crashes]),
      group("peers", [this.#peers, this.#membership, this.#loans]),
      group("platform", [
        this.#configuration,
        this.#vmList,
        this.#plan,
        this.#sweep,
      ]),
      group("serving", [this.#poller, this.#callers]),
      group("operators", [this.#operator]),
    ]);
  }

  #operatorTask(secrets: Secrets): OperatorTask {
    const { settings, metrics } = {
      settings: this.#settings,
      metrics: this.#metrics,
    };
    const backend = new Backend({
      settings,
      instance: this.instance,
      admin: new ConfigurationAdmin(this.#platform),
      configuration: this.#configuration,
      fleet: this.#fleet,
      steering: this.#steering,
      plan: this.#plan,
      crashes: this.#crashes,
      outages: this.#outages,
      lookups: this.#lookups,
      revisions: this.#revisions,
      supervisor: () => this.#root,
      routing: () => this.#routing,
      isReady: () => this.#notReady() === undefined,
      isLeaving: () => this.#leaving,
    });
    const probes = createProbes({
      metrics,
      beforeScrape: () => this.#updateGauges(),
      notReady: () => this.#notReady(),
    });
    return new OperatorTask({
      backend,
      probes,
      listener: {
        ...settings.listen.operator,
        tokens: new OperatorTokens(secrets.operatorTokens),
        onUnauthenticated: () =>
          metrics.refusedInput.inc({
            listener: "operator",
            reason: "unauthenticated",
          }),
      },
    });
  }

  #exchangeServices(): ExchangeServices {
    const { limits } = this.#settings;
    return {
      limits,
      wheel: this.#wheel,
      targets: this.#pools,
      claims: new TableClaims(this.#claims),
      attemptObserver: this.#crashes,
      steer: (event, exchange) => {
        if (event.kind === "arrive") {
          this.#demand.requestStarted(event.service, performance.now());
        }
        this.#steering.steer(event, exchange);
      },
      ended: (exchange, end) => {
        const now = performance.now();
        const { route } = exchange.route;
        if (exchange.wasSteered) {
          this.#demand.requestEnded(route.service, now);
        }
        this.#callers.exchangeEnded();
        const ms = now - exchange.startedAt;
        this.#metrics.requestEnded(route.class, end, ms / 1_000);
        if (this.#log.isDebugEnabled || end === "broken") {
          this.#log[end === "broken" ? "warn" : "debug"]("request ended", {
            request: exchange.id,
            revision: exchange.revision,
            route: route.id,
            end,
            durationMs: Math.round(ms),
          });
        }
      },
      settled: (exchange) => this.#steering.settled(exchange),
    };
  }

  #notReady(): string | undefined {
    if (this.#leaving) {
      return "leaving";
    }
    if (this.#inForce === undefined) {
      return "no configuration is in force on this VM";
    }
    if (!this.#fleet.hasList) {
      return "the platform's VM list has not been read";
    }
    // A VM without slots in the plan serves with slots borrowed from its peers. It
    // must not wait for slots of its own: the planner allots none to a VM without
    // requests while the other VMs are near their shares.
    return this.#plan.plan === undefined ? "no plan is known" : undefined;
  }

  #checkReady(): void {
    if (this.#notReady() === undefined) {
      this.#resolveReady();
    }
  }

  #onList(vms: readonly ListedVm[]): void {
    this.#fleet.send({ kind: "listed", vms });
    const entries = vms.filter((one) => one.role === "entry");
    this.#membership.send({ kind: "listed", entries });
    this.#checkReady();
  }

  #onAdopted(configuration: Configuration): void {
    const { revision, preset } = configuration;
    this.#routing = { revision, routes: new RouteTable(preset) };
    this.#metrics.revision.set(revision);
    this.#log.info("configuration in force", { revision });
    const services = preset.services.map(({ id }) => id);
    this.#demand.setServices(services, performance.now());
    this.#steering.send({ kind: "start", policy: preset });
    this.#fleet.send({ kind: "configuration", configuration });
    this.#membership.send({ kind: "revision", revision });
    this.#revisions.confirm(this.#self.vm, revision, performance.now());
    this.#onView(this.#fleet.view);
    this.#updateDrains(configuration);
    this.#checkReady();
  }

  #onView(view: FleetView): void {
    const inForce = this.#inForce;
    if (inForce === undefined) {
      return;
    }
    const { region, zone } = this.#settings;
    this.#lookups.set({
      preset: inForce.preset,
      self: { region, zone },
      vms: view.vms
        .filter(({ effectiveState }) =>
          effectiveState === "live" || effectiveState === "suspect"
        )
        .map(({ id, region, zone, caller }) => ({
          vm: id,
          region,
          zone,
          caller,
        })),
    });
    this.#pools.setTargets(sharedConnections(view, inForce.preset));
    this.#poller.send({
      kind: "targets",
      targets: view.targets
        .filter((one) => one.region === region)
        .map(({ id }) => id),
    });
    this.#steering.send({ kind: "vms", vms: toVmEntries(view) });
    this.#steering.send({ kind: "targets", targets: toTargetEntries(view) });
    for (const { region, lost } of regionStates(view)) {
      this.#steering.send({ kind: "region-lost", region, lost });
    }
  }

  #updateDrains({ drains }: Configuration): void {
    const idsOf = (kind: string) =>
      drains.filter((one) => one.kind === kind).map((one) => one.id);
    this.#steering.send({
      kind: "drains",
      targets: idsOf("target") as TargetId[],
      zones: idsOf("zone") as [],
      vms: idsOf("vm") as VmId[],
    });
  }

  /** Passes the current state to a steering task that has just started. */
  #updateSteering(): void {
    this.#onView(this.#fleet.view);
    if (this.#inForce !== undefined) {
      this.#updateDrains(this.#inForce);
    }
    if (this.#plan.plan !== undefined) {
      this.#onPlan(this.#plan.plan, this.#plan.validMs);
    }
  }

  #onPlan(plan: Plan, validMs: number): void {
    this.#metrics.planSequence.set(plan.sequence);
    this.#steering.send({ kind: "plan", plan, validMs });
    this.#checkReady();
  }

  #planInputs(): PlanInputs | undefined {
    const inForce = this.#inForce;
    if (inForce === undefined || !this.#fleet.hasList) {
      return undefined;
    }
    const { view } = this.#fleet;
    return {
      policy: inForce.preset,
      revision: inForce.revision,
      vms: toVmEntries(view),
      targets: targetsToPlan(view, inForce),
      instances: new Map(
        this.#fleet.members
          // A member that is listed but has sent no heartbeat has no instance yet.
          .filter(({ instance }) => instance.length > 0)
          .map(({ vm, instance }) => [vm, instance]),
      ),
      listed: this.#listedVms(),
    };
  }

  /** Undefined while the list is too old to prove that a VM is missing from it. */
  #listedVms(): ReadonlySet<VmId> | undefined {
    const { view, listedAt } = this.#fleet;
    return performance.now() - listedAt < MAX_LIST_AGE_MS
      ? new Set(view.vms.map(({ id }) => id))
      : undefined;
  }

  #onPeerEffect(effect: PeerEffect): void {
    switch (effect.kind) {
      case "ask":
      case "lend":
      case "give-back":
        this.#loans.send({ kind: "effect", effect });
        return;
      case "plan-applied":
        this.#appliedPlanSequence = effect.sequence;
        return;
      case "belief-changed":
        this.#facts.publishHealth(effect.target, effect.failing);
        return;
    }
  }

  #onReport(report: TargetReport): void {
    const { target, state, inFlight, ageMs } = report;
    if (state === "draining") {
      this.#facts.publishLeaving(target);
    }
    this.#fleet.send({ kind: "target-cold", target, cold: state === "cold" });
    this.#steering.send({
      kind: "report",
      target,
      healthy: state === "ok" || state === "cold",
      ageMs,
      ...(inFlight === undefined ? {} : { inFlight }),
    });
  }

  #onFact(update: FactUpdate): void {
    switch (update.kind) {
      case "target-leaving":
        this.#fleet.send(update);
        this.#steering.send(update);
        return;
      case "target-staying":
        this.#onTargetStaying(update.target);
        return;
      case "peer-belief":
        this.#steering.send(update);
        return;
      case "held-back":
        this.#crashes.send({ kind: "peer", message: update.message });
        return;
    }
  }

  /** The leaving notices of a target have expired: its drain was cancelled. */
  #onTargetStaying(target: TargetId): void {
    this.#fleet.send({ kind: "target-staying", target });
    // Steering accepts a leaving target again only after its removal, so the target
    // is removed and added.
    const { view } = this.#fleet;
    const targets = view.targets.filter(({ id }) => id !== target);
    this.#steering.send({
      kind: "targets",
      targets: toTargetEntries({ ...view, targets }),
    });
    this.#steering.send({ kind: "targets", targets: toTargetEntries(view) });
  }

  #onMembership(effect: Exclude<MembershipEffect, { kind: "send" }>): void {
    switch (effect.kind) {
      case "changed":
        this.#fleet.send({ kind: "member", member: effect.member });
        if (effect.member.state === "dead") {
          this.#peers.send({ kind: "drop", vm: effect.member.vm });
        }
        this.#updateMembers();
        return;
      case "forgotten":
        this.#fleet.send({ kind: "forgotten", vm: effect.member.vm });
        this.#revisions.remove(effect.member.vm);
        this.#updateMembers();
        return;
      case "fact":
        this.#facts.receive(effect.fact);
        return;
      case "fact-expired":
        this.#facts.expired(effect.key);
        return;
      case "ahead":
        this.#configuration.send({
          kind: "ahead",
          vm: effect.vm,
          revision: effect.revision,
        });
        return;
      case "superseded":
        this.#resolveFailed(
          new Error(
            "Cannot continue: another instance runs under this VM's name",
          ),
        );
        return;
    }
  }

  #updateMembers(): void {
    const { members } = this.#membership;
    this.#configuration.send({ kind: "members", members });
    this.#plan.send({ kind: "members", members });
  }

  #onPeerNotice(from: PeerId, notice: PeerNotification): void {
    switch (notice.method) {
      case "membership": {
        const message = notice.params;
        if ("revision" in message) {
          const now = performance.now();
          this.#revisions.confirm(message.from.vm, message.revision, now);
        }
        this.#membership.send({ kind: "peer", message });
        return;
      }
      case "configuration":
        this.#configuration.send({ kind: "peer", message: notice.params });
        return;
      case "plan":
        this.#plan.send({ kind: "peer", message: notice.params });
        return;
      case "term":
        this.#plan.send({ kind: "term", message: notice.params });
        return;
      case "slots":
        this.#loans.send({ kind: "peer", from, message: notice.params });
        return;
      case "planner-report":
        this.#plan.send({ kind: "report", from, report: notice.params });
        return;
    }
  }

  #sendToPeer(to: VmId, notice: PeerNotification): void {
    const address = this.#fleet.peerAddress(to);
    if (address !== undefined) {
      this.#peers.send({ kind: "send", to, address, notice });
    }
  }

  #announceLeaving(): void {
    this.#leaving = true;
    this.#fleet.send({ kind: "self-leaving" });
    this.#membership.send({ kind: "leave" });
    const selfEntry = this.#fleet.view.vms.find(({ id }) =>
      id === this.#self.vm
    );
    if (selfEntry !== undefined) {
      const { effectiveState: _, ...entry } = selfEntry;
      this.#platform.announce({ ...entry, state: "leaving" })
        .catch((err) =>
          this.#log.warn("platform not told of the stop", {
            reason: messageOf(err),
          })
        );
    }
  }

  #updateGauges(): void {
    const { metrics } = { metrics: this.#metrics };
    metrics.inFlight.set(this.#callers.inFlight);
    metrics.heldBack.set(this.#crashes.size);
    const { ageMs } = this.#configuration;
    metrics.configurationAge.set(Number.isFinite(ageMs) ? ageMs / 1_000 : -1);
    metrics.members.reset();
    for (const { effectiveState } of this.#fleet.view.vms) {
      metrics.members.inc({ state: effectiveState });
    }
  }
}
