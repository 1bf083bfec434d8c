/**
 * Composition root of the gateway, the daemon for platforms whose store lists
 * the targets and holds the operators' configuration.
 *
 * @module
 */

import {
  HomeCoordinator,
  type ReachState,
  Steering,
} from "@poplarthread/placement";
import type { VmId } from "@poplarthread/ids";
import { messageOf } from "../errors.ts";
import type { Log } from "../log.ts";
import { PacedTimer } from "../paced_timer.ts";
import { pause } from "../pause.ts";
import { CallerListener } from "./caller_listener.ts";
import { Connections } from "./connections.ts";
import { Accounts } from "./accounts/accounts.ts";
import { CrashRecord } from "./crash_record.ts";
import { EventLog, type EventName } from "./events.ts";
import type { GatewayExchange } from "./exchange.ts";
import type { GatewayExchangeEnd } from "./exchange_types.ts";
import { Forwarding } from "./forwarding/forwarding.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import { GatewayTasks } from "./gateway_tasks.ts";
import { Homes } from "./homes/homes.ts";
import { LookupListener } from "./lookup_listener.ts";
import { LoopDelay } from "./loop_delay.ts";
import { MetricsListener } from "./metrics_listener.ts";
import { Peers } from "./peers.ts";
import { LOOKUP_TTL_MS, PlannedStop } from "./planned_stop.ts";
import { PlatformEvents } from "./platform_events.ts";
import { PlatformFeed } from "./platform_feed.ts";
import type { Dialect, PlatformPort } from "./ports.ts";
import { RelayListener } from "./relay.ts";
import { ResidentMemory } from "./resident_memory.ts";
import { RequestLog } from "./request_log.ts";
import { requestBytesFor } from "./request_memory.ts";
import { BUSY_TICK_MS, IDLE_TICK_MS, RequestPath } from "./request_path.ts";
import { ProcessorShortage } from "./processor_shortage.ts";
import { type GatewaySettings, memberOf } from "./settings.ts";
import { TargetProbes } from "./target_probes.ts";
import type { RankedMember } from "./vm_directory.ts";

/** External dependencies of a gateway. */
export interface GatewayPorts {
  readonly platform: PlatformPort;
  readonly dialect: Dialect;
  readonly log: Log;
  /** Whether the process was started from compiled code; false by default. */
  readonly startedFromCodeCache?: boolean;
}

/** A running gateway. */
export interface Gateway {
  /** Resolves with the cause when the gateway cannot continue. */
  readonly failed: Promise<unknown>;
  /** Graceful shutdown; resolves when all requests have ended or the stop timeout has expired. */
  stop(): Promise<void>;
  /** Stops immediately and aborts requests in flight. Also the last step of {@link stop}; otherwise for tests. */
  kill(): Promise<void>;
}

/** Interval at which a leaving VM checks whether its requests have ended. */
const STOP_CHECK_INTERVAL_MS = 20;

/** The log event for each state of this VM's links to the targets. */
const REACH_EVENTS = {
  "reached": "targets reached",
  "in-doubt": "reach in doubt",
  "cut-off": "targets not reached",
} as const satisfies Record<ReachState, EventName>;

/** Starts a gateway; resolves when its listeners are up, except those whose ports are in use. */
export async function startGateway(
  settings: GatewaySettings,
  ports: GatewayPorts,
): Promise<Gateway> {
  const gateway = new RunningGateway(settings, ports);
  await gateway.start();
  return gateway;
}

class RunningGateway implements Gateway {
  readonly failed: Promise<unknown>;
  readonly #settings: GatewaySettings;
  readonly #feed: PlatformFeed;
  readonly #dialect: Dialect;
  readonly #log: EventLog;
  readonly #requestLog: RequestLog;
  readonly #metrics: GatewayMetrics;
  readonly #connections: Connections;
  /** Connections to other VMs, for requests that are forwarded to them. */
  readonly #peerConnections: Connections<VmId>;
  readonly #requestPath: RequestPath;
  readonly #loopDelay = new LoopDelay(
    performance.now() + BUSY_TICK_MS,
    performance.now(),
  );
  readonly #shortage = new ProcessorShortage(
    performance.now(),
    (isShort) => this.#onShortageChanged(isShort),
  );
  readonly #peers: Peers;
  readonly #homes: Homes;
  readonly #crashRecord: CrashRecord;
  readonly #probes: TargetProbes;
  readonly #callerListener: CallerListener;
  readonly #accounts: Accounts;
  readonly #platformEvents: PlatformEvents;
  readonly #tasks: GatewayTasks;
  readonly #timer = new PacedTimer((now) => this.#tick(now));
  readonly #plannedStop: PlannedStop;
  #idleTickDueAt = 0;
  /** The graceful shutdown in progress; repeated calls of `stop` share it. */
  #stopped: Promise<void> | undefined;
  #fail: (err: unknown) => void = () => undefined;

  constructor(settings: GatewaySettings, ports: GatewayPorts) {
    this.#settings = settings;
    this.#plannedStop = new PlannedStop(settings.bounds.stopMs);
    this.#dialect = ports.dialect;
    this.#log = new EventLog(ports.log);
    this.#requestLog = new RequestLog(this.#log);
    this.#metrics = new GatewayMetrics(() => ({
      openRequests: this.#callerListener.openRequests,
      requestBytes: this.#callerListener.requestBytes,
      closedConnections: this.#callerListener.closedConnections,
      ...this.#requestPath.gauges,
      configurationVersion: this.#callerListener.version,
      storeEra: this.#feed.seenOf("operator").era,
      operatorRowsSeconds: this.#feed.ageOf("operator") / 1_000,
      targetRowsSeconds: this.#feed.ageOf("targets") / 1_000,
      vmsUp: this.#peers.vms.up(performance.now()).length,
      fleetVms: this.#peers.fleetSize ?? 0,
      droppedLines: this.#log.dropped,
      keptConnections: this.#homes.keptConnections,
      targetsReached: Number(!this.#requestPath.steering.isCutOff),
      processorShort: Number(this.#shortage.isShort),
      serving: Number(this.#tasks.isServing),
      startedFromCodeCache: Number(ports.startedFromCodeCache ?? false),
    }));
    this.failed = new Promise((resolve) => this.#fail = resolve);
    this.#connections = new Connections({
      localAddress: settings.listen.callers.host,
      listener: {
        connected: (target, ms) =>
          this.#requestPath.recordConnectTime(target, ms),
      },
    });
    this.#peerConnections = new Connections<VmId>({
      localAddress: settings.listen.callers.host,
      listener: { connected: () => undefined },
    });
    this.#peers = new Peers({
      settings,
      self: memberOf(settings),
      log: this.#log,
      metrics: this.#metrics,
      path: () => this.#requestPath,
      feed: () => this.#feed,
      vmsChanged: (up, now) => this.#setVms(up, now),
    });
    const { vms } = this.#peers;
    this.#homes = new Homes({
      settings,
      vms,
      log: this.#log,
      metrics: this.#metrics.homes,
      createAgent: (options) => new HomeCoordinator(options),
      homesKnown: (service, now) => this.#requestPath.homesKnown(service, now),
      connections: {
        targetOf: (hash) =>
          this.#requestPath.keptConnection(
            hash,
            this.#peers.fleetSize ?? Infinity,
          ),
        idleMs: (target, now) => this.#connections.idleMs(target, now),
        refresh: (target) => this.#probes.refresh(target),
      },
      loadsReported: (loads, now) =>
        this.#requestPath.steering.recordPeerLoads(loads, now),
    });
    this.#requestPath = this.#createRequestPath(settings);
    this.#metrics.room.follow(this.#requestPath.steering.room);
    this.#metrics.retries.follow(this.#requestPath.steering);
    this.#crashRecord = new CrashRecord({
      reports: (now) =>
        this.#requestPath.suspects.reportsToRecord(now, {
          isHeardByAll: () => vms.silentVms(now) === 0,
        }),
      write: (reports) => ports.platform.recordCrashes(settings.vm, reports),
      log: this.#log,
    });
    this.#probes = new TargetProbes({
      connections: this.#connections,
      dialect: this.#dialect,
      log: this.#log,
      path: () => this.#requestPath,
      isLoopDelayed: () => this.#loopDelay.isDelayed(performance.now()),
    });
    this.#callerListener = this.#createCallerListener();
    this.#accounts = new Accounts({
      settings,
      vms,
      accounts: () => this.#callerListener.accounts,
      readAgeMs: () => this.#feed.readAgeOf("operator"),
    });
    this.#platformEvents = new PlatformEvents({
      path: this.#requestPath,
      callerListener: this.#callerListener,
      accounts: this.#accounts,
      peers: this.#peers,
      log: this.#log,
      operatorRowsSeen: () => this.#feed.seenOf("operator"),
      operatorRowsRestores: () => this.#feed.restoresOf("operator"),
      entriesUnused: (count) =>
        this.#metrics.stateChanged("configuration-entry-unused", count),
    });
    this.#feed = new PlatformFeed({
      platform: ports.platform,
      log: this.#log,
      relays: (except) => vms.relays(performance.now(), except),
      fallbacks: () => vms.fallbacks(performance.now()),
      listener: (event) => this.#platformEvents.handle(event),
      callEnded: (end, source) => this.#metrics.changes.callEnded(end, source),
    });
    this.#tasks = this.#createTasks();
  }

  async start(): Promise<void> {
    await this.#tasks.start((err) => {
      this.#peers.setFailed();
      this.#fail(err);
    });
    const now = performance.now();
    this.#setVms(this.#peers.vms.up(now), now);
    this.#feed.start(memberOf(this.#settings));
    this.#timer.scheduleWithin(BUSY_TICK_MS);
    this.#log.write("started", {});
  }

  stop(): Promise<void> {
    this.#stopped ??= this.#stop();
    return this.#stopped;
  }

  async #stop(): Promise<void> {
    if (
      !this.#tasks.hasServed && this.#callerListener.openConnections === 0
    ) {
      // Nobody was told to use this VM, and nobody uses it.
      this.#log.write("stopped", { open: 0 });
      await this.kill();
      return;
    }
    const startedAt = performance.now();
    const toldAt = this.#loopDelay.earliestArrival(startedAt);
    this.#plannedStop.begin(startedAt, toldAt);
    this.#log.write("leaving", { lateMs: Math.round(startedAt - toldAt) });
    this.#peers.leave();
    await pause(this.#plannedStop.acceptMs);
    // VMs of other zones learn of it a second later and query this VM until then.
    const now = performance.now();
    this.#homes.setVms(this.#peers.vms.up(now), now);
    this.#callerListener.send({ kind: "close-listener" });
    while (
      // Callers that read slowly have yet to take what was written.
      this.#callerListener.openConnections > 0 &&
      performance.now() < this.#plannedStop.endsAt
    ) {
      if (performance.now() >= this.#plannedStop.releasesAt) {
        this.#callerListener.send({ kind: "release-ready" });
      }
      await pause(STOP_CHECK_INTERVAL_MS);
    }
    this.#log.write("stopped", { open: this.#callerListener.openRequests });
    await this.#stopTasks();
    // The process may end now: to close hundreds of connections could outlast the stop.
    setImmediate(() => this.#closeConnections());
  }

  async kill(): Promise<void> {
    await this.#stopTasks();
    this.#closeConnections();
  }

  async #stopTasks(): Promise<void> {
    this.#timer.close();
    this.#feed.close();
    await this.#tasks.stop();
  }

  #closeConnections(): void {
    this.#connections.close();
    this.#peerConnections.close();
  }

  #createRequestPath(settings: GatewaySettings): RequestPath {
    const { vm, zone, region, zones, bounds, memoryBytes } = settings;
    const resident = new ResidentMemory(this.#log);
    const steering = new Steering({
      vm,
      location: { zone, region },
      retries: bounds.retries,
      startedAt: performance.now(),
      onWarmPair: (pair) => this.#peers.beacon.send({ kind: "warmed", pair }),
      homes: this.#homes.source,
      roomOf: (service, now) => this.#homes.roomOf(service, now),
      othersReachTargets: () =>
        this.#peers.vms.peersWithTargets(performance.now()).length > 0,
      onReachChanged: (state) => this.#onReachChanged(state),
      onRetryDenied: ({ vms, ...denial }) =>
        this.#log.write("retries used up", {
          ...denial,
          fleetVms: Number.isFinite(vms) ? vms : 0,
        }),
    });
    steering.setFleetSize(undefined);
    return new RequestPath({
      steering,
      forwarding: this.#createForwarding(settings, steering),
      zones,
      dialect: this.#dialect,
      log: this.#log,
      connections: this.#connections,
      memory: { memoryBytes, residentBytes: () => resident.read() },
      targetChanged: (_target, change) =>
        this.#metrics.stateChanged(`target-${change}`),
      homeTargetsChanged: (targets, now) =>
        this.#homes.setTargets(targets, now),
      targetUnresponsive: () => this.#metrics.stateChanged("target-silent"),
      probe: (target) => this.#probes.probe(target),
      checkReach: (target) => this.#probes.checkReach(target),
      requestQueued: () => this.#timer.scheduleWithin(BUSY_TICK_MS),
      publishLimit: (update) =>
        this.#peers.beacon.send({ kind: "limit", update }),
      crashFindingMade: (finding) => this.#metrics.stateChanged(finding),
      checkRun: (target) => this.#probes.checkRun(target),
      silentVms: () => this.#peers.vms.silentVms(performance.now()),
      placeInTurns: () => this.#peers.vms.placeInTurns(performance.now()),
      plannedStop: this.#plannedStop,
      publishSuspects: () => this.#peers.beacon.send({ kind: "suspects" }),
      ended: (exchange, end) => this.#onRequestEnd(exchange, end),
      attemptEnded: (end) => this.#metrics.attemptEnded(end),
    });
  }

  #createForwarding(
    settings: GatewaySettings,
    steering: Steering,
  ): Forwarding {
    const { vms } = this.#peers;
    return new Forwarding({
      self: vms.self,
      port: settings.listen.forwarding.port,
      dialect: this.#dialect,
      log: this.#log,
      roundTrips: steering.roundTrips,
      connections: this.#peerConnections,
      peers: () => vms.peersWithTargets(performance.now()),
      lastSeenAt: (vm) => vms.lastSeenAt(vm),
      attemptEnded: (end) => this.#metrics.forwardEnded(end),
    });
  }

  #createCallerListener(): CallerListener {
    return new CallerListener({
      listen: this.#settings.listen.callers,
      forwarding: this.#settings.listen.forwarding,
      clients: this.#settings.clients,
      requestBytes: requestBytesFor(this.#settings.memoryBytes),
      vmAt: (host) => this.#peers.vms.vmAt(host),
      dialect: this.#dialect,
      seed: this.#settings.vm,
      path: this.#requestPath,
      plannedStop: this.#plannedStop,
      isLoopDelayed: () => this.#loopDelay.isDelayed(performance.now()),
      operatorRowsEra: () => this.#feed.seenOf("operator").era,
      knowsRevocations: () => this.#accounts.knowsRevocations(),
      requestCredit: (account, done) =>
        this.#accounts.requestCredit(account, done),
      refundCredit: (account) => this.#accounts.refundCredit(account),
      acceptFailed: (err) =>
        this.#log.write("connection not accepted", { reason: messageOf(err) }),
      connectionsUsedUp: (isUsedUp) =>
        this.#log.write(
          isUsedUp ? "connections used up" : "connections enough",
          { open: this.#callerListener.openConnections },
        ),
      refused: (request, reason) => {
        const { era, version } = this.#feed.seenOf("operator");
        this.#metrics.requestRefused(reason);
        this.#log.write("request refused", {
          request: request?.requestId ?? "",
          reason,
          revision: this.#callerListener.version,
          era,
          storeVersion: version,
          operatorMs: this.#feed.ageOf("operator"),
          ...this.#accounts.logFieldsOf(request),
        });
      },
    });
  }

  #createTasks(): GatewayTasks {
    const { listen, bounds, clients } = this.#settings;
    const lookups = new LookupListener({
      listen: [listen.lookups, listen.readiness],
      connections: clients.lookupConnections,
      dialect: this.#dialect,
      isReady: () => this.#isReady,
      lookup: (query) => ({
        addresses: this.#peers.vms.addressesFor(query, performance.now()),
        ttlMs: Math.min(LOOKUP_TTL_MS, bounds.lookupMs),
      }),
    });
    const metrics = new MetricsListener({
      listen: listen.metrics,
      text: () => this.#metrics.text(),
    });
    const relay = new RelayListener({
      listen: listen.peers,
      handler: (subject, query) => this.#feed.changesAfter(subject, query),
    });
    return new GatewayTasks({
      log: this.#log,
      metrics: this.#metrics,
      forwarding: this.#callerListener.forwarding,
      required: [
        this.#peers.beacon,
        this.#callerListener,
      ],
      optional: [
        this.#accounts.creditExchange,
        this.#homes.exchange,
        lookups,
        relay,
      ],
      expendable: [metrics],
      forwardingChanged: (isRunning) =>
        this.#peers.setAcceptsForwarded(isRunning),
      servingChanged: (isServing) => {
        this.#peers.setServing(isServing);
        if (isServing) {
          this.#feed.deliverAgain();
        }
      },
    });
  }

  get #isReady(): boolean {
    return this.#tasks.isServing && !this.#plannedStop.hasBegun &&
      this.#callerListener.version > 0 &&
      this.#platformEvents.hasTargets;
  }

  /** Runs the periodic work; returns the time until the next tick, in milliseconds. */
  #tick(now: number): number {
    if (now >= this.#idleTickDueAt) {
      this.#idleTickDueAt = now + IDLE_TICK_MS - BUSY_TICK_MS;
      this.#idleTick(now);
    }
    const pathMs = this.#requestPath.tick(now);
    const nextMs = this.#shortage.isWatched ? BUSY_TICK_MS : pathMs;
    const lateMs = this.#loopDelay.recordTick(now, nextMs);
    const acceptWaitMs = this.#callerListener.maxAcceptWaitMs(now);
    this.#shortage.recordTick(now, { lateMs, acceptWaitMs });
    return nextMs;
  }

  #idleTick(now: number): void {
    this.#peers.sweep(now);
    this.#requestPath.idleTick(now);
    this.#crashRecord.tick(now);
    this.#homes.idleTick(now);
  }

  #onRequestEnd(exchange: GatewayExchange, end: GatewayExchangeEnd): void {
    this.#callerListener.exchangeEnded(exchange);
    const { route: { priority }, summary: { delivery } } = exchange;
    const now = delivery.answeredAt ?? performance.now();
    const seconds = (now - exchange.startedAt) / 1_000;
    this.#metrics.requestEnded(end, { priority, seconds, delivery });
    this.#requestLog.requestEnded(exchange, end, {
      now,
      newsMs: this.#feed.ageOf("targets"),
      accountsMs: Math.round(this.#accounts.ageMs),
      hasHomes: this.#homes.has(exchange.service),
    });
  }

  #onReachChanged(state: ReachState): void {
    this.#metrics.stateChanged(`reach-${state}`);
    this.#log.write(REACH_EVENTS[state], {});
    this.#peers.setCutOff(state === "cut-off");
    // The steering is in the middle of recording a failure.
    queueMicrotask(() => this.#requestPath.reachChanged(performance.now()));
  }

  #onShortageChanged(isShort: boolean): void {
    this.#metrics.stateChanged(isShort ? "processor-short" : "processor-ample");
    this.#log.write(isShort ? "processor short" : "processor ample", {});
    this.#peers.setOverloaded(isShort);
  }

  #setVms(up: readonly RankedMember[], now: number): void {
    this.#requestPath.steering.setVms(up);
    this.#homes.setVms(up, now);
  }
}
