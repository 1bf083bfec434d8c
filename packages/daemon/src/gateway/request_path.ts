/**
 * The path of requests from callers to targets on one VM, without sockets:
 * steering, the wait queue, deadlines and the health state of targets.
 *
 * @module
 */

import type { RegionId, ServiceId, TargetId, ZoneId } from "@poplarthread/ids";
import type { ReachState, Steering } from "@poplarthread/placement";
import { DeadlineWheel } from "../http/deadline_wheel.ts";
import type { Route } from "./configuration.ts";
import type { ConnectionTarget } from "./connection.ts";
import type { ConnectionSource } from "./connections.ts";
import { CrashSuspects } from "./crash_suspects.ts";
import { CrashFindings } from "./crash_findings.ts";
import type { TurnPlace } from "./crash_trials.ts";
import type { EventLog } from "./events.ts";
import { GatewayExchange } from "./exchange.ts";
import type {
  GatewayExchangeOptions,
  GatewayExchangeServices,
} from "./exchange_types.ts";
import { ConnectTimes } from "./homes/connect_times.ts";
import { HomeTargetWatch } from "./homes/home_target_watch.ts";
import type { HomeTargets } from "./homes/home_targets.ts";
import type { LimitUpdate } from "./limit_updates.ts";
import { PlannedStop } from "./planned_stop.ts";
import type { Dialect, RegisteredTarget } from "./ports.ts";
import type { Forwarding } from "./forwarding/forwarding.ts";
import { MemoryGuard } from "./memory_guard.ts";
import { RequestQueue } from "./request_queue.ts";
import { budgetBytesFor, ResponseBudget } from "./response_budget.ts";
import {
  runOf,
  type TargetChange,
  TargetDirectory,
} from "./target_directory.ts";
import type { RunEnd } from "./unanswered_attempts.ts";

/** Interval of the deadline and wait queue checks while requests wait or a deadline is near. */
export const BUSY_TICK_MS = 20;
/** Interval of the target, peer and probe checks, and of the deadline checks while no request waits and no deadline is near. */
export const IDLE_TICK_MS = 200;
/** Share of the connections that a target accepts which idle ones of all VMs may take up. */
const MAX_IDLE_CONNECTIONS_SHARE = 0.25;

/** Interval at which the memory for responses is set anew. */
const BUDGET_INTERVAL_MS = 2_000;

/** Memory of the VM and of its process. */
export interface VmMemory {
  /** Memory that the process may use. */
  readonly memoryBytes: number;
  /** What the process needs besides responses. */
  residentBytes(): number;
}

/** Options of a request path. */
export interface RequestPathOptions {
  readonly steering: Steering;
  readonly zones: ReadonlyMap<ZoneId, RegionId>;
  readonly dialect: Dialect;
  readonly log: EventLog;
  readonly connections: ConnectionSource;
  /** Forwards requests to other VMs while this one reaches no target; not at all by default. */
  readonly forwarding?: Forwarding;
  /** Bounds the responses that are held for callers; not bounded by default. */
  readonly memory?: VmMemory;
  /** Called when a target has changed. */
  targetChanged(target: RegisteredTarget, change: TargetChange): void;
  /** Called when the services with homes by load, or the targets that can be homes, have changed. */
  homeTargetsChanged?(targets: HomeTargets, now: number): void;
  /** Called when a target has become unresponsive. */
  targetUnresponsive(target: TargetId): void;
  /** Probes a target that was taken out of use. */
  probe(target: TargetId): void;
  /** Checks whether a target responds on a new connection, and reports that to the steering; not at all by default. */
  checkReach?(target: TargetId): void;
  /** Called when a request is queued: {@link RequestPath.tick} is then due in {@link BUSY_TICK_MS}. */
  requestQueued?(): void;
  /** Sends peers the limit that a target reported, or lifted. */
  publishLimit(limit: LimitUpdate): void;
  /** Checks whether the present run of a target still exists, and reports that to the suspects; not at all by default. */
  checkRun?(target: TargetId): void;
  /** The VM's planned stop; none by default. */
  readonly plannedStop?: PlannedStop;
  /** Sends peers soon what is known of requests that crash targets. */
  publishSuspects(): void;
  /** This VM's place when all VMs take turns; the only one by default. */
  readonly placeInTurns?: () => TurnPlace;
  /** Number of other VMs that may be running and are not heard of; 0 by default. */
  silentVms?(): number;
  /** Called with a name for each finding on requests that may crash targets; not at all by default. */
  crashFindingMade?(finding: string): void;
  /** Called once per exchange, when its caller has the final response or has disconnected. */
  ended: GatewayExchangeServices["ended"];
  /** Called once per attempt. */
  attemptEnded: GatewayExchangeServices["attemptEnded"];
}

/** Values of the request path for metrics. */
export interface RequestPathGauges {
  /** Requests that wait for a target. */
  readonly waitingRequests: number;
  readonly targets: number;
  /** Targets that have stated a limit on the requests of all VMs together. */
  readonly limitedTargets: number;
  /** Requests that are held back because they crash targets. */
  readonly heldBackRequests: number;
  /** Bytes of request bodies, and of responses that their callers have not taken yet. */
  readonly heldResponseBytes: number;
  /** The most bytes that may be held so. */
  readonly responseBudgetBytes: number;
  /** Size of the process; 0 if its memory is not bounded. */
  readonly residentBytes: number;
  /** 1 while requests are refused for lack of memory. */
  readonly memoryShort: number;
  /** Collections of garbage because the process was large. */
  readonly memoryCollections: number;
}

/** The request path of one VM; see the module comment. Times are milliseconds of the monotonic clock. */
export class RequestPath {
  readonly steering: Steering;
  readonly targets: TargetDirectory;
  readonly suspects: CrashSuspects;
  readonly #options: RequestPathOptions;
  readonly #services: GatewayExchangeServices;
  readonly #wheel = new DeadlineWheel(performance.now());
  readonly #queue: RequestQueue;
  readonly #homeTargets: HomeTargetWatch;
  readonly #connectTimes = new ConnectTimes((kind) =>
    this.steering.warmMs(kind)
  );
  readonly #memoryGuard: MemoryGuard | undefined;
  readonly #budget = new ResponseBudget(() =>
    this.#memoryGuard?.isShort ?? false
  );
  #budgetDueAt = 0;
  #evacuatedZones: ReadonlySet<ZoneId> = new Set();

  constructor(options: RequestPathOptions) {
    const { steering, dialect, log, connections, memory } = options;
    this.#options = options;
    this.#memoryGuard = memory &&
      new MemoryGuard(memory.memoryBytes, { log });
    // Requests may come before the first tick.
    this.#setBudget();
    this.steering = steering;
    this.#queue = new RequestQueue(() => options.requestQueued?.());
    this.#homeTargets = new HomeTargetWatch({
      known: () => this.targets.known(),
      zones: () => ({
        regions: options.zones,
        evacuated: this.#evacuatedZones,
      }),
      changed: (targets, now) => {
        steering.room.setServices(new Set(targets.keys()));
        options.homeTargetsChanged?.(targets, now);
      },
    });
    this.targets = new TargetDirectory({
      steering,
      zones: options.zones,
      onKnownChanged: () => this.#homeTargets.markOutdated(),
      onRunEnded: (run, end) => this.#runEnded(run, end),
      onChange: (target, change) => this.#targetChanged(target, change),
      onFirstList: (targets) => this.#logFirstList(targets),
    });
    const findings = new CrashFindings({
      log,
      count: (change) => options.crashFindingMade?.(change),
      silentVms: () => options.silentVms?.() ?? 0,
    });
    this.suspects = new CrashSuspects({
      publish: () => options.publishSuspects(),
      ...(options.placeInTurns === undefined
        ? {}
        : { place: options.placeInTurns }),
      reach: () => this.#reach,
      found: (finding) => findings.record(finding),
    });
    this.#services = {
      dialect,
      wheel: this.#wheel,
      steering,
      queue: this.#queue,
      budget: this.#budget,
      forwarding: options.forwarding,
      connections,
      targets: this.targets,
      suspects: this.suspects,
      checkRun: (target) => options.checkRun?.(target),
      plannedStop: options.plannedStop ?? new PlannedStop(Infinity),
      log,
      ended: (exchange, end) => options.ended(exchange, end),
      attemptEnded: (end) => options.attemptEnded(end),
      limitReported: (limit) => {
        if (this.#applyLimit(limit, "answer")) {
          options.publishLimit(limit);
        }
      },
    };
  }

  /** Current values for metrics. */
  get gauges(): RequestPathGauges {
    return {
      waitingRequests: this.#queue.size,
      targets: this.targets.size,
      limitedTargets: this.steering.limitedTargets,
      heldBackRequests: this.suspects.countHeldBack(performance.now()),
      heldResponseBytes: this.#budget.heldBytes,
      responseBudgetBytes: this.#budget.totalBytes,
      residentBytes: this.#memoryGuard?.residentBytes ?? 0,
      memoryShort: Number(this.#memoryGuard?.isShort ?? false),
      memoryCollections: this.#memoryGuard?.collections ?? 0,
    };
  }

  /** Creates the exchange of a caller's request; {@link GatewayExchange.start} starts it. */
  exchange(options: GatewayExchangeOptions): GatewayExchange {
    return new GatewayExchange(this.#services, options);
  }

  /** Expires deadlines and places waiting requests; returns the time until the next call is due. */
  tick(now: number): number {
    this.#wheel.advance(now);
    this.checkMemory(now);
    this.#homeTargets.update(now);
    if (this.#queue.size > 0) {
      this.#queue.placeAllWaiting(now);
    }
    const isBusy = this.#queue.size > 0 ||
      this.#wheel.dueWithin(IDLE_TICK_MS);
    return isBusy ? BUSY_TICK_MS : IDLE_TICK_MS;
  }

  /** Periodic work, due every {@link IDLE_TICK_MS}. */
  idleTick(now: number): void {
    this.#updateBudget(now);
    this.targets.sweep(now);
    this.#queue.retryAll(now);
    this.#findUnresponsive(now);
    for (const target of this.steering.probesDue(now)) {
      this.#options.probe(target);
    }
    this.checkReach(now);
    this.suspects.settle(now);
  }

  get #reach(): ReachState {
    return this.#options.checkReach === undefined
      ? "reached"
      : this.steering.reach;
  }

  #runEnded(run: RegisteredTarget, end: RunEnd): void {
    this.#options.connections.remove(run.id);
    if (!run.isLeaving) {
      this.suspects.runEnded(runOf(run), end, performance.now());
    }
  }

  /** Takes out the targets that do not respond, and closes connections to them: these may be silent while new ones work. */
  #findUnresponsive(now: number): void {
    const { connections, targetUnresponsive, log } = this.#options;
    const unresponsive = this.steering.findUnresponsive(now);
    for (const target of unresponsive) {
      connections.closeIdle(target);
      targetUnresponsive(target);
      log.write("target silent", { target });
    }
    if (unresponsive.length > 0 && this.steering.reach === "in-doubt") {
      connections.closeDoubtful();
    }
  }

  /** Handles a change of whether this VM reaches targets. */
  reachChanged(now: number): void {
    this.checkReach(now);
    this.#queue.retryAll(now);
  }

  /** Starts the checks that are due because this VM may reach no targets. */
  checkReach(now: number): void {
    const { checkReach } = this.#options;
    if (checkReach !== undefined) {
      this.steering.reachChecksDue(now).forEach((target) => checkReach(target));
    }
  }

  /** Applies the platform's complete list of targets. */
  updateTargets(
    targets: ReadonlyMap<TargetId, RegisteredTarget>,
    now: number,
  ): void {
    this.targets.update(targets, now);
    this.#homeTargets.update(now);
    this.#queue.placeAllWaiting(now);
  }

  /** Places the requests of a service that wait for homes: they have become known, or are not going to be. */
  homesKnown(service: ServiceId, now: number): void {
    this.#queue.placeAwaitingHomes(service, now);
  }

  /**
   * Where to keep a connection open to the target whose id has this hash; undefined
   * if requests have time to connect, or if it does not accept several connections
   * from each of `vms`.
   */
  keptConnection(hash: number, vms: number): ConnectionTarget | undefined {
    const id = this.steering.targetWithHash(hash);
    const target = id && this.targets.get(id);
    const service = id && this.targets.serviceOf(id);
    if (
      target === undefined || service === undefined ||
      vms > service.maxConnections * MAX_IDLE_CONNECTIONS_SHARE
    ) {
      return undefined;
    }
    const roundTripMs = this.steering.roundTripTo(target.id);
    return this.#connectTimes.exceedsObjective(service.id, roundTripMs)
      ? { id: target.id, address: target.address, roundTripMs }
      : undefined;
  }

  /** Collects garbage if the process has become large. */
  checkMemory(now: number): void {
    this.#memoryGuard?.check(now);
  }

  /** Sets the routes of a configuration that came into force. */
  setRoutes(routes: readonly Route[]): void {
    this.#connectTimes.setRoutes(routes);
  }

  /** Applies a target's limit that a peer reported. */
  applyPeerLimit(limit: LimitUpdate): void {
    this.#applyLimit(limit, "peer");
  }

  /** Sets the zones whose targets must not be sent any requests. */
  setEvacuatedZones(zones: ReadonlySet<ZoneId>, now: number): void {
    const { log } = this.#options;
    for (const zone of this.#evacuatedZones) {
      if (!zones.has(zone)) {
        this.targets.zoneRestored(zone, now);
        log.write("zone taken back", { zone });
      }
    }
    for (const zone of zones) {
      if (!this.#evacuatedZones.has(zone)) {
        log.write("zone evacuated", { zone });
      }
    }
    this.#evacuatedZones = zones;
    this.steering.setEvacuated(zones);
    this.#homeTargets.markOutdated();
    this.#homeTargets.update(now);
  }

  /** Records that connecting to a target took `ms`. */
  recordConnectTime(id: TargetId, ms: number): void {
    const target = this.targets.get(id);
    if (target !== undefined) {
      this.steering.roundTrips.record(target.zone, ms);
    }
  }

  #updateBudget(now: number): void {
    if (now >= this.#budgetDueAt) {
      this.#budgetDueAt = now + BUDGET_INTERVAL_MS;
      this.#setBudget();
    }
  }

  #setBudget(): void {
    const { memory } = this.#options;
    if (memory !== undefined) {
      const { memoryBytes } = memory;
      const residentBytes = memory.residentBytes();
      this.#budget.setTotal(budgetBytesFor({ memoryBytes, residentBytes }));
    }
  }

  /** Applies a target's limit; returns true if it changed. */
  #applyLimit(limit: LimitUpdate, source: "answer" | "peer"): boolean {
    const { target, perSecond } = limit;
    const { log } = this.#options;
    if (!this.steering.updateLimit(target, limit)) {
      return false;
    }
    if (perSecond === undefined) {
      log.write("target not limited", { target, source });
    } else {
      log.write("target limited", { target, perSecond, source });
    }
    return true;
  }

  #logFirstList(targets: readonly RegisteredTarget[]): void {
    const counts = new Map<ServiceId, number>();
    for (const { service } of targets) {
      counts.set(service, (counts.get(service) ?? 0) + 1);
    }
    for (const [service, count] of counts) {
      this.#options.log.write("targets listed", { service, targets: count });
    }
  }

  #targetChanged(target: RegisteredTarget, change: TargetChange): void {
    this.#options.targetChanged(target, change);
    this.#options.log.write(`target ${change}`, {
      target: target.id,
      service: target.service,
      zone: target.zone,
    });
  }
}
