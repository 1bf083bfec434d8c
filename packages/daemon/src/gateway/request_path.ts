/**
 * What stands between callers' requests and targets on one VM, without a socket:
 * steering, waiting requests, deadlines, and what is believed of targets.
 *
 * @module
 */

import type { RegionId, ServiceId, TargetId, ZoneId } from "@poplarthread/ids";
import type { Steering } from "@poplarthread/placement";
import { DeadlineWheel } from "../http/deadline_wheel.ts";
import type { ConnectionSource } from "./connections.ts";
import { CrashSuspects, type SuspectedCrash } from "./crash_suspects.ts";
import type { EventLog } from "./events.ts";
import {
  GatewayExchange,
  type GatewayExchangeOptions,
  type GatewayExchangeServices,
} from "./exchange.ts";
import type { LimitWord } from "./limit_news.ts";
import type { AnnouncedTarget, Dialect } from "./ports.ts";
import { RequestQueue } from "./request_queue.ts";
import { type TargetChange, TargetDirectory } from "./target_directory.ts";

/** How often deadlines and waiting requests are looked at while some are close, in milliseconds. */
export const BUSY_TICK_MS = 20;
/** How often targets, peers and probes are looked at, and deadlines while none is close, in milliseconds. */
export const IDLE_TICK_MS = 200;

/** What a request path works with. */
export interface RequestPathOptions {
  readonly steering: Steering;
  readonly zones: ReadonlyMap<ZoneId, RegionId>;
  readonly dialect: Dialect;
  readonly log: EventLog;
  readonly connections: ConnectionSource;
  /** Told of what changed about a target. */
  targetChanged(target: AnnouncedTarget, what: TargetChange): void;
  /** Told of a target that has fallen silent. */
  targetSilent(target: TargetId): void;
  /** A target that is out is to be probed. */
  probe(target: TargetId): void;
  /** A request begins to wait: {@link RequestPath.tick} is due in {@link BUSY_TICK_MS}. */
  hurry?(): void;
  /** Peers are to hear what a target has said of its limit. */
  publishLimit(word: LimitWord): void;
  /** Peers are to hear of a target that a request may have crashed. */
  publishCrash(crash: SuspectedCrash): void;
  /** Called once for each exchange, when its caller has its final answer. */
  ended: GatewayExchangeServices["ended"];
  /** Called once for each attempt. */
  attemptEnded: GatewayExchangeServices["attemptEnded"];
}

/** See the module's comment. Times are milliseconds of the monotonic clock. */
export class RequestPath {
  readonly steering: Steering;
  readonly targets: TargetDirectory;
  readonly suspects: CrashSuspects;
  readonly #options: RequestPathOptions;
  readonly #services: GatewayExchangeServices;
  readonly #wheel = new DeadlineWheel(performance.now());
  readonly #queue: RequestQueue;
  #evacuated: ReadonlySet<ZoneId> = new Set();

  constructor(options: RequestPathOptions) {
    const { steering, dialect, log, connections } = options;
    this.#options = options;
    this.steering = steering;
    this.#queue = new RequestQueue(() => options.hurry?.());
    this.targets = new TargetDirectory({
      steering,
      zones: options.zones,
      onGone: (target) => connections.forget(target),
      onChange: (target, what) => this.#targetChanged(target, what),
      onFirstList: (targets) => this.#logFirstList(targets),
    });
    this.suspects = new CrashSuspects((crash) => options.publishCrash(crash));
    this.#services = {
      dialect,
      wheel: this.#wheel,
      steering,
      queue: this.#queue,
      connections,
      targets: this.targets,
      suspects: this.suspects,
      log,
      ended: (exchange, end) => options.ended(exchange, end),
      attemptEnded: (end) => options.attemptEnded(end),
      limitNamed: (word) => {
        if (this.#limitNamed(word, "answer")) {
          options.publishLimit(word);
        }
      },
    };
  }

  /** Requests that wait for a target. */
  get waitingRequests(): number {
    return this.#queue.size;
  }

  /** A caller's request; it begins with `start`. */
  exchange(options: GatewayExchangeOptions): GatewayExchange {
    return new GatewayExchange(this.#services, options);
  }

  /** Looks at deadlines and waiting requests; returns in how many milliseconds that is due again. */
  tick(now: number): number {
    this.#wheel.advance(now);
    if (this.#queue.size > 0) {
      this.#queue.pumpAll(now);
    }
    const isClose = this.#queue.size > 0 ||
      this.#wheel.dueWithin(IDLE_TICK_MS);
    return isClose ? BUSY_TICK_MS : IDLE_TICK_MS;
  }

  /** Work that is due every {@link IDLE_TICK_MS}. */
  idleTick(now: number): void {
    this.targets.sweep(now);
    this.#queue.review(now);
    for (const target of this.steering.checkSilence(now)) {
      this.#options.targetSilent(target);
      this.#options.log.write("target silent", { target });
    }
    for (const target of this.steering.probesDue(now)) {
      this.#options.probe(target);
    }
  }

  /** The platform's whole list of targets. */
  listed(targets: ReadonlyMap<TargetId, AnnouncedTarget>, now: number): void {
    this.targets.update(targets, now);
    this.#queue.pumpAll(now);
  }

  /** Another VM tells what a target has said of its limit. */
  heardLimit(word: LimitWord): void {
    this.#limitNamed(word, "peer");
  }

  /** Zones to whose targets nothing is to be sent. */
  evacuate(zones: ReadonlySet<ZoneId>, now: number): void {
    const { log } = this.#options;
    for (const zone of this.#evacuated) {
      if (!zones.has(zone)) {
        this.targets.zoneTakenBack(zone, now);
        log.write("zone taken back", { zone });
      }
    }
    for (const zone of zones) {
      if (!this.#evacuated.has(zone)) {
        log.write("zone evacuated", { zone });
      }
    }
    this.#evacuated = zones;
    this.steering.setEvacuated(zones);
  }

  /** A connection to a target took `ms` to come about. */
  connected(id: TargetId, ms: number): void {
    const target = this.targets.get(id);
    if (target !== undefined) {
      this.steering.roundTrips.measured(target.zone, ms);
    }
  }

  /** True if it is news. */
  #limitNamed(word: LimitWord, source: "answer" | "peer"): boolean {
    const { target, perSecond } = word;
    const { log } = this.#options;
    if (!this.steering.limitNamed(target, word)) {
      return false;
    }
    if (perSecond === undefined) {
      log.write("target not limited", { target, source });
    } else {
      log.write("target limited", { target, perSecond, source });
    }
    return true;
  }

  #logFirstList(targets: readonly AnnouncedTarget[]): void {
    const counts = new Map<ServiceId, number>();
    for (const { service } of targets) {
      counts.set(service, (counts.get(service) ?? 0) + 1);
    }
    for (const [service, count] of counts) {
      this.#options.log.write("targets listed", { service, targets: count });
    }
  }

  #targetChanged(target: AnnouncedTarget, what: TargetChange): void {
    if (what === "gone" || what === "restarted") {
      this.suspects.crashed(target.id, performance.now());
    }
    this.#options.targetChanged(target, what);
    this.#options.log.write(`target ${what}`, {
      target: target.id,
      service: target.service,
      zone: target.zone,
    });
  }
}
