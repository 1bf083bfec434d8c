/**
 * Homes by load on this VM: connects the agent that assigns and follows homes with
 * its socket, its log lines and its metrics.
 *
 * @module
 */

import { randomBytes } from "node:crypto";
import type { Socket } from "node:dgram";
import type { ServiceId } from "@poplarthread/ids";
import type {
  HomeAgent,
  HomeAgentOptions,
  HomeSource,
  ObservedLoad,
  OwnerTerm,
} from "@poplarthread/placement";
import type { EventLog } from "../events.ts";
import type { GatewaySettings } from "../settings.ts";
import type { RankedMember, VmDirectory } from "../vm_directory.ts";
import {
  ConnectionUpkeep,
  type ConnectionUpkeepOptions,
} from "./connection_upkeep.ts";
import { HomeExchange } from "./home_exchange.ts";
import { HomeLog } from "./home_log.ts";
import type { HomeMetrics } from "./home_metrics.ts";
import type { HomeTargets } from "./home_targets.ts";

/** Bytes of randomness in the name of a term. */
const TERM_BYTES = 4;

/** Dependencies of {@link Homes}. */
export interface HomesOptions {
  readonly settings: {
    readonly listen: Pick<GatewaySettings["listen"], "homes">;
  };
  readonly vms: VmDirectory;
  readonly log: EventLog;
  readonly metrics: HomeMetrics;
  createAgent(options: HomeAgentOptions): HomeAgent;
  /** Places the requests of a service that wait for homes. */
  homesKnown(service: ServiceId, now: number): void;
  /** Applies loads that targets have reported to other VMs. */
  loadsReported(loads: readonly ObservedLoad[], now: number): void;
  /** The connections to targets. */
  readonly connections: Omit<ConnectionUpkeepOptions, "homes">;
  /** See {@link HomeExchangeOptions.createSocket}. */
  readonly createSocket?: () => Socket;
}

/** See the module comment. Times are milliseconds of the monotonic clock. */
export class Homes {
  /** The task that exchanges messages; the gateway's supervisor runs it. */
  readonly exchange: HomeExchange;
  readonly #options: HomesOptions;
  readonly #agent: HomeAgent;
  readonly #log: HomeLog;
  readonly #upkeep: ConnectionUpkeep;
  /** Services whose homes became known, until their waiting requests are placed. */
  readonly #servicesToPlace = new Set<ServiceId>();
  #targets: HomeTargets = new Map();
  /** The term that the agent created last. */
  #lastTerm: OwnerTerm | undefined;

  constructor(options: HomesOptions) {
    const { settings, vms, log, metrics, createAgent, createSocket } = options;
    this.#options = options;
    this.#agent = createAgent({
      self: vms.self,
      newTerm: () => this.#newTerm(),
      onOutgoing: () => this.exchange.flushSoon(),
      onHomes: (service) => this.#placeSoon(service),
      onLoads: (_service, loads) =>
        options.loadsReported(loads, performance.now()),
      onOwnership: (service, isOwner) =>
        this.#log.ownershipChanged(
          service,
          isOwner ? this.#lastTerm : undefined,
        ),
    });
    this.exchange = new HomeExchange({
      listen: settings.listen.homes,
      createSocket,
      agent: this.#agent,
      isActive: () => this.#isActive,
      addressOf: (vm) => vms.hostOf(vm),
      vmAt: (address) => vms.vmAt(address),
      received: (kind) => metrics.received(kind),
      notSent: ({ service, kind }) =>
        log.write("homes message not sent", { service, reason: kind }),
    });
    this.#log = new HomeLog({
      log,
      agent: this.#agent,
      vmsInRegion: () => vms.upInRegion(performance.now()).length,
    });
    this.#upkeep = new ConnectionUpkeep({
      homes: () => this.#agent.homes(),
      ...options.connections,
    });
    metrics.follow(this.#agent);
  }

  /** The homes as steering uses them. */
  get source(): HomeSource {
    return this.#agent.source;
  }

  /** Number of distant homes to which a connection is kept open. */
  get keptConnections(): number {
    return this.#upkeep.size;
  }

  /** Whether a service has homes by load. */
  has(service: ServiceId): boolean {
    return this.#targets.has(service);
  }

  /** Sets the VMs that are up, including this one unless it is leaving. */
  setVms(up: readonly RankedMember[], now: number): void {
    this.#agent.setVms(up, now);
  }

  /** Sets the targets of the services that have homes by load. */
  setTargets(targets: HomeTargets, now: number): void {
    this.#targets = targets;
    this.#agent.setTargets(targets, now);
    this.exchange.send({ kind: "activity-changed" });
  }

  /** Periodic work: connections to refresh and log lines that are due. */
  idleTick(now: number): void {
    if (this.#isActive) {
      this.#upkeep.tick(now);
      this.#log.write(now);
    }
  }

  #newTerm(): OwnerTerm {
    this.#lastTerm = randomBytes(TERM_BYTES).toString("hex") as OwnerTerm;
    return this.#lastTerm;
  }

  get #isActive(): boolean {
    return this.#targets.size > 0;
  }

  /**
   * Places a service's waiting requests once the current events are handled: placing
   * them looks up homes, which the agent may be in the middle of.
   */
  #placeSoon(service: ServiceId): void {
    if (this.#servicesToPlace.size === 0) {
      queueMicrotask(() => this.#placeWaiting());
    }
    this.#servicesToPlace.add(service);
  }

  #placeWaiting(): void {
    const services = [...this.#servicesToPlace];
    this.#servicesToPlace.clear();
    const now = performance.now();
    services.forEach((service) => this.#options.homesKnown(service, now));
  }
}
