/**
 * Composition root of the gateway, the daemon for platforms whose store lists
 * the targets and holds the operators' configuration.
 *
 * @module
 */

import type { TargetId, VmId } from "@poplarthread/ids";
import { type HashedPair, Steering } from "@poplarthread/placement";
import { messageOf } from "../errors.ts";
import type { Log } from "../log.ts";
import { PacedTimer } from "../paced_timer.ts";
import { pause } from "../pause.ts";
import { Supervisor } from "../supervisor.ts";
import { CallerListener } from "./caller_listener.ts";
import type { RoutingConfiguration } from "./configuration.ts";
import { Connections } from "./connections.ts";
import { Accounts } from "./accounts/accounts.ts";
import { EventLog } from "./events.ts";
import type { GatewayExchange, GatewayExchangeEnd } from "./exchange.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import { HealthProber } from "./health_prober.ts";
import { LookupListener } from "./lookup_listener.ts";
import { LoopDelay } from "./loop_delay.ts";
import { MetricsListener } from "./metrics_listener.ts";
import { PeerBeacon } from "./peer_beacon.ts";
import type { Heartbeat, ZoneReport } from "./peer_messages.ts";
import { type FeedEvent, PlatformFeed } from "./platform_feed.ts";
import type { Dialect, Member, PlatformPort, WatchedSubject } from "./ports.ts";
import { RelayListener } from "./relay.ts";
import { RequestLog } from "./request_log.ts";
import { BUSY_TICK_MS, IDLE_TICK_MS, RequestPath } from "./request_path.ts";
import type { GatewaySettings } from "./settings.ts";
import { VmChanges } from "./vm_changes.ts";
import { VmDirectory } from "./vm_directory.ts";

/** External dependencies of a gateway. */
export interface GatewayPorts {
  readonly platform: PlatformPort;
  readonly dialect: Dialect;
  readonly log: Log;
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

/**
 * Cache lifetime of a look-up response. Some callers keep a response for three times
 * as long, so all of them stop using a leaving VM within 3 s, well before it must
 * exit.
 */
const LOOKUP_TTL_MS = 1_000;
/** A leaving VM accepts connections until the look-up responses that callers cached have expired. */
const LEAVE_DELAY_MS = 3 * LOOKUP_TTL_MS + 200;
/** Part of the time until SIGKILL that is reserved for the exit of the process itself. */
const STOP_MARGIN_MS = 500;
/** Findings of one version of the configuration that are logged; the metric counts all. */
const MAX_LOGGED_FINDINGS = 10;
/** Interval at which a leaving VM checks whether its requests have ended. */
const STOP_CHECK_INTERVAL_MS = 20;

/** Starts a gateway; resolves when its listeners are up. */
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
  readonly #self: Member;
  readonly #connections: Connections;
  readonly #requestPath: RequestPath;
  readonly #loopDelay = new LoopDelay(performance.now() + BUSY_TICK_MS);
  readonly #vms: VmDirectory;
  readonly #vmChanges = new VmChanges();
  readonly #prober: HealthProber;
  readonly #callerListener: CallerListener;
  readonly #beacon: PeerBeacon;
  readonly #accounts: Accounts;
  readonly #supervisor: Supervisor;
  readonly #timer = new PacedTimer((now) => this.#tick(now));
  #idleTickDueAt = 0;
  #hasTargets = false;
  #hasMembers = false;
  #leaving = false;
  /** The graceful shutdown in progress; repeated calls of `stop` share it. */
  #stopped: Promise<void> | undefined;
  #fail: (err: unknown) => void = () => undefined;

  constructor(settings: GatewaySettings, ports: GatewayPorts) {
    const { vm, instance, zone, region, cores, listen } = settings;
    this.#settings = settings;
    this.#dialect = ports.dialect;
    this.#log = new EventLog(ports.log);
    this.#requestLog = new RequestLog(this.#log);
    this.#metrics = new GatewayMetrics(() => ({
      openRequests: this.#callerListener.openRequests,
      waitingRequests: this.#requestPath.waitingRequests,
      configurationVersion: this.#callerListener.version,
      targets: this.#requestPath.targets.size,
      limitedTargets: this.#requestPath.steering.limitedTargets,
      vmsUp: this.#vms.up(performance.now()).length,
      droppedLines: this.#log.dropped,
    }));
    this.failed = new Promise((resolve) => this.#fail = resolve);
    this.#self = {
      vm,
      instance,
      zone,
      region,
      callerAddress: `${listen.callers.host}:${listen.callers.port}`,
      peerAddress: `${listen.peers.host}:${listen.peers.port}`,
      cores,
    };
    this.#connections = new Connections({
      localAddress: listen.callers.host,
      listener: {
        connected: (target, ms) =>
          this.#requestPath.recordConnectTime(target, ms),
      },
    });
    this.#requestPath = this.#createRequestPath(settings);
    this.#vms = new VmDirectory({
      self: this.#self,
      onChange: (member, change) => this.#vmChanges.add(member, change),
    });
    this.#prober = new HealthProber({
      connections: this.#connections,
      dialect: this.#dialect,
    });
    this.#callerListener = this.#createCallerListener();
    this.#accounts = new Accounts({
      settings,
      vms: this.#vms,
      accounts: () => this.#callerListener.accounts,
      readAgeMs: () => this.#feed.readAgeOf("operator"),
    });
    this.#beacon = new PeerBeacon({
      listen: listen.peers,
      seeds: () => this.#hasMembers ? [] : settings.seeds,
      zonePeers: () => this.#vms.zonePeers(),
      reportRecipients: () => this.#vms.reportRecipients(performance.now()),
      isZoneDelegate: () => this.#vms.isZoneDelegate(performance.now()),
      warmRecipients: () => this.#vms.warmRecipients(performance.now()),
      warmPairs: () => this.#requestPath.steering.warmPairs(performance.now()),
      warmReceived: (pairs) => this.#onWarmPairs(pairs),
      limitsReceived: (updates) =>
        updates.forEach((update) => this.#requestPath.applyPeerLimit(update)),
      zoneVmStatuses: () => this.#vms.zoneVmStatuses(performance.now()),
      localState: () => ({
        member: this.#self,
        isLeaving: this.#leaving,
        seen: this.#feed.seen,
      }),
      heartbeatReceived: (heartbeat) => this.#onHeartbeat(heartbeat),
      zoneReportReceived: (report) => this.#onZoneReport(report),
    });
    this.#feed = new PlatformFeed({
      platform: ports.platform,
      log: this.#log,
      relays: (except) => this.#vms.relays(performance.now(), except),
      fallbacks: () => this.#vms.fallbacks(performance.now()),
      listener: (event) => this.#onFeedEvent(event),
    });
    this.#supervisor = this.#createSupervisor();
  }

  async start(): Promise<void> {
    await this.#supervisor.start({
      failed: (_task, err) => this.#fail(err),
    });
    this.#requestPath.steering.setVms(this.#vms.up(performance.now()));
    this.#feed.start(this.#self);
    this.#timer.scheduleWithin(BUSY_TICK_MS);
    this.#log.write("started", {});
  }

  stop(): Promise<void> {
    this.#stopped ??= this.#stop();
    return this.#stopped;
  }

  async #stop(): Promise<void> {
    const startedAt = performance.now();
    const stopTimeoutMs = this.#settings.bounds.stopMs - STOP_MARGIN_MS;
    this.#log.write("leaving", {});
    this.#leaving = true;
    this.#vms.leave();
    this.#callerListener.send({ kind: "leave" });
    this.#beacon.send({ kind: "beat" });
    await pause(Math.min(LEAVE_DELAY_MS, stopTimeoutMs));
    this.#callerListener.send({ kind: "close-listener" });
    while (
      this.#callerListener.openRequests > 0 &&
      performance.now() - startedAt < stopTimeoutMs
    ) {
      await pause(STOP_CHECK_INTERVAL_MS);
    }
    this.#log.write("stopped", { open: this.#callerListener.openRequests });
    await this.kill();
  }

  async kill(): Promise<void> {
    this.#timer.close();
    this.#feed.close();
    await this.#supervisor.stop();
    this.#connections.close();
  }

  #createRequestPath(settings: GatewaySettings): RequestPath {
    const { vm, zone, region, zones, bounds } = settings;
    return new RequestPath({
      steering: new Steering({
        vm,
        location: { zone, region },
        retries: bounds.retries,
        onWarmPair: (pair) => this.#beacon.send({ kind: "warmed", pair }),
      }),
      zones,
      dialect: this.#dialect,
      log: this.#log,
      connections: this.#connections,
      targetChanged: (_target, change) =>
        this.#metrics.stateChanged(`target-${change}`),
      targetUnresponsive: () => this.#metrics.stateChanged("target-silent"),
      probe: (target) => this.#probe(target),
      requestQueued: () => this.#timer.scheduleWithin(BUSY_TICK_MS),
      publishLimit: (update) => this.#beacon.send({ kind: "limit", update }),
      publishCrash: (crash) => this.#beacon.send({ kind: "crash", crash }),
      ended: (exchange, end) => this.#onRequestEnd(exchange, end),
      attemptEnded: (end) => this.#metrics.attemptEnded(end),
    });
  }

  #createCallerListener(): CallerListener {
    return new CallerListener({
      listen: this.#settings.listen.callers,
      dialect: this.#dialect,
      seed: this.#settings.vm,
      path: this.#requestPath,
      isLoopDelayed: () => this.#loopDelay.isDelayed(performance.now()),
      knowsRevocations: () => this.#accounts.knowsRevocations(),
      requestCredit: (account, done) =>
        this.#accounts.requestCredit(account, done),
      refundCredit: (account) => this.#accounts.refundCredit(account),
      acceptFailed: (err) =>
        this.#log.write("connection not accepted", { reason: messageOf(err) }),
      refused: (request, reason) => {
        this.#metrics.requestRefused(reason);
        this.#log.write("request refused", {
          request: request?.requestId ?? "",
          reason,
          revision: this.#callerListener.version,
          ...this.#accounts.logFieldsOf(request),
        });
      },
    });
  }

  #createSupervisor(): Supervisor {
    const lookups = new LookupListener({
      listen: [this.#settings.listen.lookups, this.#settings.listen.readiness],
      dialect: this.#dialect,
      isReady: () => this.#isReady,
      lookup: (query) => ({
        addresses: this.#vms.addressesFor(query, performance.now()),
        ttlMs: Math.min(LOOKUP_TTL_MS, this.#settings.bounds.lookupMs),
      }),
    });
    const supervisor = new Supervisor("gateway", {
      listener: {
        taskFailed: (task, err) =>
          this.#log.write("task failed", { task, reason: messageOf(err) }),
        taskRestarted: (task) => this.#log.write("task restarted", { task }),
      },
    });
    const metrics = new MetricsListener({
      listen: this.#settings.listen.metrics,
      text: () => this.#metrics.text(),
    });
    const relay = new RelayListener({
      listen: this.#settings.listen.peers,
      handler: (subject, query) => this.#feed.changesAfter(subject, query),
    });
    [
      this.#beacon,
      this.#accounts.creditExchange,
      this.#callerListener,
      lookups,
      metrics,
      relay,
    ]
      .forEach((task) => supervisor.add(task));
    return supervisor;
  }

  get #isReady(): boolean {
    return !this.#leaving && this.#callerListener.version > 0 &&
      this.#hasTargets;
  }

  /** Runs the periodic work; returns the time until the next tick, in milliseconds. */
  #tick(now: number): number {
    if (now >= this.#idleTickDueAt) {
      this.#idleTickDueAt = now + IDLE_TICK_MS - BUSY_TICK_MS;
      this.#idleTick(now);
    }
    const nextMs = this.#requestPath.tick(now);
    this.#loopDelay.recordTick(now, nextMs);
    return nextMs;
  }

  #idleTick(now: number): void {
    this.#vms.sweep(now);
    this.#publishVmChanges(now);
    this.#requestPath.steering.setFleetSize(this.#vms.fleetSize(now));
    this.#requestPath.idleTick(now);
  }

  #probe(id: TargetId): void {
    const { steering, targets } = this.#requestPath;
    const target = targets.get(id);
    const path = targets.serviceOf(id)?.healthPath;
    if (target === undefined || path === undefined) {
      return;
    }
    const { address } = target;
    const roundTripMs = steering.roundTripTo(id);
    this.#prober.probe({ id, address, roundTripMs }, path).then(
      (health) => {
        const isSameTarget = health.target === undefined ||
          health.target === id;
        if (health.isHealthy && isSameTarget) {
          // The target may have restarted since; its entry in the store shows that only later.
          const coldMs = health.coldMs;
          steering.probeSucceeded(id, { now: performance.now(), coldMs });
          this.#log.write("target answers again", { target: id });
        }
      },
      (err) =>
        this.#log.write("probe failed", { target: id, reason: messageOf(err) }),
    );
  }

  #onRequestEnd(exchange: GatewayExchange, end: GatewayExchangeEnd): void {
    this.#callerListener.exchangeEnded(exchange);
    const now = performance.now();
    const seconds = (now - exchange.startedAt) / 1_000;
    const { priority } = exchange.route;
    this.#metrics.requestEnded(end, { priority, seconds });
    this.#requestLog.requestEnded(exchange, end, {
      now,
      newsMs: this.#feed.ageOf("targets"),
      accountsMs: Math.round(this.#accounts.ageMs),
    });
  }

  #onHeartbeat(heartbeat: Heartbeat): void {
    const { member, isLeaving, seen, crashes } = heartbeat;
    const now = performance.now();
    if (this.#vms.recordHeartbeat(member, { now, isLeaving })) {
      this.#beacon.send({ kind: "greet", member });
    }
    this.#publishVmChanges(now);
    this.#applyUpdates({ seen, crashes }, now);
    crashes.forEach((crash) => this.#beacon.send({ kind: "pass-on", crash }));
  }

  #publishVmChanges(now: number): void {
    const changes = this.#vmChanges.take();
    for (const { change, instances } of changes) {
      this.#metrics.stateChanged(`peer-${change}`, instances.length);
      this.#log.write(`peer ${change}`, { peer: instances.join(" ") });
    }
    if (changes.length > 0) {
      this.#requestPath.steering.setVms(this.#vms.up(now));
    }
  }

  #onWarmPairs(pairs: readonly HashedPair[]): void {
    const now = performance.now();
    for (const { object, target } of pairs) {
      this.#requestPath.steering.addWarmPair({ object, target }, now);
    }
  }

  #onZoneReport({ ages, leaving, seen, crashes }: ZoneReport): void {
    const now = performance.now();
    for (const [name, ageMs] of Object.entries(ages)) {
      const vm = name as VmId;
      const isLeaving = leaving.includes(vm);
      this.#vms.recordStatus({ vm, ageMs, isLeaving }, now);
    }
    this.#publishVmChanges(now);
    this.#applyUpdates({ seen, crashes }, now);
  }

  #applyUpdates(
    { seen, crashes }: Pick<ZoneReport, "seen" | "crashes">,
    now: number,
  ): void {
    for (const crash of crashes) {
      this.#requestPath.suspects.recordCrash(crash, now);
    }
    for (const [subject, version] of Object.entries(seen)) {
      this.#feed.hint(subject as WatchedSubject, version);
    }
  }

  #onFeedEvent(event: FeedEvent): void {
    const now = performance.now();
    switch (event.kind) {
      case "configuration":
        this.#applyConfiguration(event.configuration);
        this.#logFindings(event.findings);
        return;
      case "unusable-configuration":
        this.#accounts.configurationRejected();
        this.#log.write("configuration not used", { reason: event.reason });
        return;
      case "evacuations":
        this.#requestPath.setEvacuatedZones(event.zones, now);
        return;
      case "targets":
        this.#hasTargets = true;
        this.#requestPath.updateTargets(event.targets, now);
        return;
      case "members":
        this.#vms.addRegistered(event.members, now);
        this.#announceOnFirstList();
        return;
      case "contact":
        if (event.subject === "targets") {
          this.#requestPath.targets.connectivityChanged(event.isLost, now);
        }
        this.#logConnectivity(event);
        return;
    }
  }

  /** Sends a heartbeat to the VMs of the first member list; VMs that start later read the list and send theirs first. */
  #announceOnFirstList(): void {
    if (!this.#hasMembers) {
      this.#hasMembers = true;
      this.#beacon.send({ kind: "beat" });
    }
  }

  #logConnectivity(
    { subject, isLost, reason }: Extract<FeedEvent, { kind: "contact" }>,
  ): void {
    if (isLost) {
      const fields = reason === undefined ? {} : { reason };
      this.#log.write("contact lost", { subject, ...fields });
    } else {
      this.#log.write("contact regained", { subject });
    }
  }

  #logFindings(findings: readonly string[]): void {
    this.#metrics.stateChanged("configuration-entry-unused", findings.length);
    for (const finding of findings.slice(0, MAX_LOGGED_FINDINGS)) {
      this.#log.write("configuration entry not used", { reason: finding });
    }
  }

  #applyConfiguration(configuration: RoutingConfiguration): void {
    if (configuration.version <= this.#callerListener.version) {
      return;
    }
    this.#callerListener.send({ kind: "configuration", configuration });
    this.#accounts.configurationApplied();
    this.#requestPath.targets.setServices(configuration.services);
    this.#log.write("configuration in force", {
      revision: configuration.version,
    });
  }
}
