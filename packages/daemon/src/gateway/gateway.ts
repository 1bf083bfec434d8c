/**
 * The one module that constructs a gateway: the daemon on a platform whose
 * store lists the targets and holds the operators' configuration.
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
import type { Heartbeat, ZoneReport } from "./peer_words.ts";
import { type FeedEvent, PlatformFeed } from "./platform_feed.ts";
import type { Dialect, Member, PlatformPort, WatchedSubject } from "./ports.ts";
import { RelayListener } from "./relay.ts";
import { RequestLog } from "./request_log.ts";
import { BUSY_TICK_MS, IDLE_TICK_MS, RequestPath } from "./request_path.ts";
import type { GatewaySettings } from "./settings.ts";
import { VmChanges } from "./vm_changes.ts";
import { VmDirectory } from "./vm_directory.ts";

/** What a gateway runs on. */
export interface GatewayPorts {
  readonly platform: PlatformPort;
  readonly dialect: Dialect;
  readonly log: Log;
}

/** A running gateway. */
export interface Gateway {
  /** Settles with the reason when it cannot go on. */
  readonly failed: Promise<unknown>;
  /** The planned stop; settles when nothing is left. */
  stop(): Promise<void>;
  /** Ends at once and cuts what is in flight. For tests. */
  kill(): Promise<void>;
}

/**
 * Callers keep an answer to a look-up for this long, some of them three times as
 * long, in milliseconds. So all of them know of a VM's leaving after 3 s, well
 * before it must end.
 */
const LOOKUP_TTL_MS = 1_000;
/** A VM that leaves takes connections until the callers' answers have run out. */
const LEAVE_MS = 3 * LOOKUP_TTL_MS + 200;
/** Kept of the time to SIGKILL for the end of the process itself, in milliseconds. */
const STOP_MARGIN_MS = 500;
/** How often a leaving VM looks whether its requests are over, in milliseconds. */
const STOP_CHECK_MS = 20;

/** Starts a gateway; settles when its listeners are up. */
export async function startGateway(
  settings: GatewaySettings,
  ports: GatewayPorts,
): Promise<Gateway> {
  const wiring = new Wiring(settings, ports);
  await wiring.start();
  return wiring;
}

class Wiring implements Gateway {
  readonly failed: Promise<unknown>;
  readonly #settings: GatewaySettings;
  readonly #feed: PlatformFeed;
  readonly #dialect: Dialect;
  readonly #log: EventLog;
  readonly #requestLog: RequestLog;
  readonly #metrics: GatewayMetrics;
  readonly #self: Member;
  readonly #connections: Connections;
  readonly #path: RequestPath;
  readonly #loopDelay = new LoopDelay(performance.now() + BUSY_TICK_MS);
  readonly #vms: VmDirectory;
  readonly #vmChanges = new VmChanges();
  readonly #prober: HealthProber;
  readonly #callers: CallerListener;
  readonly #beacon: PeerBeacon;
  readonly #accounts: Accounts;
  readonly #root: Supervisor;
  readonly #timer = new PacedTimer((now) => this.#tick(now));
  #idleTickDueAt = 0;
  #hasTargets = false;
  #hasMembers = false;
  #leaving = false;
  /** The planned stop; whoever asks for it again waits for the same one. */
  #stopped: Promise<void> | undefined;
  #fail: (err: unknown) => void = () => undefined;

  constructor(settings: GatewaySettings, ports: GatewayPorts) {
    const { vm, instance, zone, region, cores, listen } = settings;
    this.#settings = settings;
    this.#dialect = ports.dialect;
    this.#log = new EventLog(ports.log);
    this.#requestLog = new RequestLog(this.#log);
    this.#metrics = new GatewayMetrics(() => ({
      openRequests: this.#callers.openRequests,
      waitingRequests: this.#path.waitingRequests,
      configurationVersion: this.#callers.version,
      targets: this.#path.targets.size,
      limitedTargets: this.#path.steering.limitedTargets,
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
        connected: (target, ms) => this.#path.connected(target, ms),
      },
    });
    this.#path = this.#createPath(settings);
    this.#vms = new VmDirectory({
      self: this.#self,
      onChange: (member, change) => this.#vmChanges.add(member, change),
    });
    this.#prober = new HealthProber({
      connections: this.#connections,
      dialect: this.#dialect,
    });
    this.#callers = this.#createCallers();
    this.#accounts = new Accounts({
      settings,
      vms: this.#vms,
      index: () => this.#callers.accounts,
      readAgeMs: () => this.#feed.readAgeOf("operator"),
    });
    this.#beacon = new PeerBeacon({
      listen: listen.peers,
      seeds: () => this.#hasMembers ? [] : settings.seeds,
      near: () => this.#vms.near(),
      far: () => this.#vms.far(performance.now()),
      reports: () => this.#vms.reports(performance.now()),
      spokenTo: () => this.#vms.spokenTo(performance.now()),
      warmPairs: () => this.#path.steering.warmPairs(performance.now()),
      heardWarm: (pairs) => this.#heardWarm(pairs),
      heardLimits: (words) =>
        words.forEach((word) => this.#path.heardLimit(word)),
      sightings: () => this.#vms.sightings(performance.now()),
      ownWord: () => ({
        member: this.#self,
        isLeaving: this.#leaving,
        seen: this.#feed.seen,
      }),
      heard: (heartbeat) => this.#heard(heartbeat),
      reported: (report) => this.#reported(report),
    });
    this.#feed = new PlatformFeed({
      platform: ports.platform,
      log: this.#log,
      relays: (except) => this.#vms.relays(performance.now(), except),
      fallbacks: () => this.#vms.fallbacks(performance.now()),
      listener: (event) => this.#onPlatform(event),
    });
    this.#root = this.#supervise();
  }

  async start(): Promise<void> {
    await this.#root.start({
      failed: (_task, err) => this.#fail(err),
    });
    this.#path.steering.setVms(this.#vms.up(performance.now()));
    this.#feed.start(this.#self);
    this.#timer.dueIn(BUSY_TICK_MS);
    this.#log.write("started", {});
  }

  stop(): Promise<void> {
    this.#stopped ??= this.#stop();
    return this.#stopped;
  }

  async #stop(): Promise<void> {
    const startedAt = performance.now();
    const mostMs = this.#settings.bounds.stopMs - STOP_MARGIN_MS;
    this.#log.write("leaving", {});
    this.#leaving = true;
    this.#vms.leave();
    this.#callers.send({ kind: "leave" });
    this.#beacon.send({ kind: "beat" });
    await pause(Math.min(LEAVE_MS, mostMs));
    this.#callers.send({ kind: "close-listener" });
    while (
      this.#callers.openRequests > 0 && performance.now() - startedAt < mostMs
    ) {
      await pause(STOP_CHECK_MS);
    }
    this.#log.write("stopped", { open: this.#callers.openRequests });
    await this.kill();
  }

  async kill(): Promise<void> {
    this.#timer.close();
    this.#feed.close();
    await this.#root.stop();
    this.#connections.close();
  }

  #createPath(settings: GatewaySettings): RequestPath {
    const { vm, zone, region, zones, bounds } = settings;
    return new RequestPath({
      steering: new Steering({
        vm,
        place: { zone, region },
        retries: bounds.retries,
        warmed: (pair) => this.#beacon.send({ kind: "warmed", pair }),
      }),
      zones,
      dialect: this.#dialect,
      log: this.#log,
      connections: this.#connections,
      targetChanged: (_target, what) =>
        this.#metrics.beliefChanged(`target-${what}`),
      targetSilent: () => this.#metrics.beliefChanged("target-silent"),
      probe: (target) => this.#probe(target),
      hurry: () => this.#timer.dueIn(BUSY_TICK_MS),
      publishLimit: (word) => this.#beacon.send({ kind: "limit", word }),
      publishCrash: (crash) => this.#beacon.send({ kind: "crash", crash }),
      ended: (exchange, end) => this.#ended(exchange, end),
      attemptEnded: (end) => this.#metrics.attemptEnded(end),
    });
  }

  #createCallers(): CallerListener {
    return new CallerListener({
      listen: this.#settings.listen.callers,
      dialect: this.#dialect,
      seed: this.#settings.vm,
      path: this.#path,
      isLate: () => this.#loopDelay.isLate(performance.now()),
      knowsRevocations: () => this.#accounts.knowsRevocations(),
      requestCredit: (account, done) =>
        this.#accounts.requestCredit(account, done),
      giveBackCredit: (account) => this.#accounts.giveBackCredit(account),
      notAccepted: (err) =>
        this.#log.write("connection not accepted", { reason: messageOf(err) }),
      refused: (request, reason) => {
        this.#metrics.requestRefused(reason);
        this.#log.write("request refused", {
          request: request?.requestId ?? "",
          reason,
          revision: this.#callers.version,
          ...this.#accounts.fieldsOf(request),
        });
      },
    });
  }

  #supervise(): Supervisor {
    const lookups = new LookupListener({
      listen: [this.#settings.listen.lookups, this.#settings.listen.readiness],
      dialect: this.#dialect,
      isReady: () => this.#isReady,
      lookup: (question) => ({
        addresses: this.#vms.addressesFor(question, performance.now()),
        ttlMs: Math.min(LOOKUP_TTL_MS, this.#settings.bounds.lookupMs),
      }),
    });
    const root = new Supervisor("gateway", {
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
      news: (subject, question) => this.#feed.news(subject, question),
    });
    [
      this.#beacon,
      this.#accounts.credit,
      this.#callers,
      lookups,
      metrics,
      relay,
    ]
      .forEach((task) => root.add(task));
    return root;
  }

  get #isReady(): boolean {
    return !this.#leaving && this.#callers.version > 0 && this.#hasTargets;
  }

  /** Returns in how many milliseconds it is due again. */
  #tick(now: number): number {
    if (now >= this.#idleTickDueAt) {
      this.#idleTickDueAt = now + IDLE_TICK_MS - BUSY_TICK_MS;
      this.#idleTick(now);
    }
    const nextMs = this.#path.tick(now);
    this.#loopDelay.ticked(now, nextMs);
    return nextMs;
  }

  #idleTick(now: number): void {
    this.#vms.sweep(now);
    this.#tellVmChanges(now);
    this.#path.steering.setFleetSize(this.#vms.fleetSize(now));
    this.#path.idleTick(now);
  }

  #probe(id: TargetId): void {
    const { steering, targets } = this.#path;
    const target = targets.get(id);
    const path = targets.serviceOf(id)?.healthPath;
    if (target === undefined || path === undefined) {
      return;
    }
    const { address } = target;
    const roundTripMs = steering.roundTripTo(id);
    this.#prober.probe({ id, address, roundTripMs }, path).then(
      (health) => {
        const isIt = health.target === undefined || health.target === id;
        if (health.isHealthy && isIt) {
          // It may have started anew since: its list entry tells that only later.
          const coldMs = health.coldMs;
          steering.probeAnswered(id, { now: performance.now(), coldMs });
          this.#log.write("target answers again", { target: id });
        }
      },
      (err) =>
        this.#log.write("probe failed", { target: id, reason: messageOf(err) }),
    );
  }

  #ended(exchange: GatewayExchange, end: GatewayExchangeEnd): void {
    this.#callers.ended(exchange);
    const now = performance.now();
    const seconds = (now - exchange.startedAt) / 1_000;
    const { priority } = exchange.route;
    this.#metrics.requestEnded(end, { priority, seconds });
    this.#requestLog.ended(exchange, end, {
      now,
      newsMs: this.#feed.ageOf("targets"),
      accountsMs: Math.round(this.#accounts.ageMs),
    });
  }

  #heard(heartbeat: Heartbeat): void {
    const { member, isLeaving, seen, crashes } = heartbeat;
    const now = performance.now();
    if (this.#vms.heard(member, { now, isLeaving })) {
      this.#beacon.send({ kind: "greet", member });
    }
    this.#tellVmChanges(now);
    this.#told({ seen, crashes }, now);
    crashes.forEach((crash) => this.#beacon.send({ kind: "pass-on", crash }));
  }

  #tellVmChanges(now: number): void {
    const changes = this.#vmChanges.take();
    for (const { change, instances } of changes) {
      this.#metrics.beliefChanged(`peer-${change}`, instances.length);
      this.#log.write(`peer ${change}`, { peer: instances.join(" ") });
    }
    if (changes.length > 0) {
      this.#path.steering.setVms(this.#vms.up(now));
    }
  }

  #heardWarm(pairs: readonly HashedPair[]): void {
    const now = performance.now();
    for (const { object, target } of pairs) {
      this.#path.steering.heardWarm({ object, target }, now);
    }
  }

  #reported({ ages, leaving, seen, crashes }: ZoneReport): void {
    const now = performance.now();
    for (const [name, ageMs] of Object.entries(ages)) {
      const vm = name as VmId;
      const isLeaving = leaving.includes(vm);
      this.#vms.sighted({ vm, ageMs, isLeaving }, now);
    }
    this.#tellVmChanges(now);
    this.#told({ seen, crashes }, now);
  }

  #told(
    { seen, crashes }: Pick<ZoneReport, "seen" | "crashes">,
    now: number,
  ): void {
    for (const crash of crashes) {
      this.#path.suspects.heard(crash, now);
    }
    for (const [subject, version] of Object.entries(seen)) {
      this.#feed.hint(subject as WatchedSubject, version);
    }
  }

  #onPlatform(event: FeedEvent): void {
    const now = performance.now();
    switch (event.kind) {
      case "configuration":
        this.#adopt(event.configuration);
        return;
      case "unusable-configuration":
        this.#accounts.misconfigured();
        this.#log.write("configuration not used", { reason: event.reason });
        return;
      case "evacuations":
        this.#path.evacuate(event.zones, now);
        return;
      case "targets":
        this.#hasTargets = true;
        this.#path.listed(event.targets, now);
        return;
      case "members":
        this.#vms.listed(event.members, now);
        this.#sayHello();
        return;
      case "contact":
        if (event.subject === "targets") {
          this.#path.targets.contact(event.isLost, now);
        }
        this.#logContact(event);
        return;
    }
  }

  /** The VMs on the first list hear of this one; those that come later read the list and say so themselves. */
  #sayHello(): void {
    if (!this.#hasMembers) {
      this.#hasMembers = true;
      this.#beacon.send({ kind: "beat" });
    }
  }

  #logContact(
    { subject, isLost, reason }: Extract<FeedEvent, { kind: "contact" }>,
  ): void {
    if (isLost) {
      const why = reason === undefined ? {} : { reason };
      this.#log.write("contact lost", { subject, ...why });
    } else {
      this.#log.write("contact regained", { subject });
    }
  }

  #adopt(configuration: RoutingConfiguration): void {
    if (configuration.version <= this.#callers.version) {
      return;
    }
    this.#callers.send({ kind: "configuration", configuration });
    this.#accounts.configured();
    this.#path.targets.setServices(configuration.services);
    this.#log.write("configuration in force", {
      revision: configuration.version,
    });
  }
}
