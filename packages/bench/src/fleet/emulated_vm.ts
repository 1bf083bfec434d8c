/**
 * One VM in virtual time: the request path of the real gateway, with connections
 * to emulated targets.
 *
 * @module
 */

import { EventEmitter } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import type {
  RegionId,
  ServiceId,
  TargetId,
  VmId,
  ZoneId,
} from "@poplarthread/ids";
import {
  anonymousCaller,
  BUSY_TICK_MS,
  ConnectionUpkeep,
  type Dialect,
  EventLog,
  type GatewayExchange,
  IDLE_TICK_MS,
  type RegisteredTarget,
  RequestPath,
  type Route,
  type Service,
  SILENT_LOG,
  type TargetResponse,
  UPKEEP_TICK_MS,
} from "@poplarthread/daemon/emulation";
import {
  EmulatedConnections,
  type EmulatedConnectionsOptions,
  type EmulatedWork,
} from "./emulated_connections.ts";
import type { EmulatedHomes } from "./emulated_homes.ts";
import type { EmulatedTarget } from "./emulated_target.ts";

/** A caller's request as a VM receives it. */
export interface EmulatedRequest extends EmulatedWork {
  readonly route: Route;
  readonly service: ServiceId;
  /** How much longer its caller waits. */
  readonly deadlineMs: number;
  /** Delivers the final response; undefined if the connection closes without one. */
  respond(response: EmulatedResponse | undefined): void;
}

/** The part of a response that callers act on. */
export interface EmulatedResponse {
  readonly status: number;
  readonly retryAfterMs: number | undefined;
}

/** What an emulated VM depends on. */
export interface EmulatedVmOptions extends EmulatedConnectionsOptions {
  readonly vm: VmId;
  readonly zone: ZoneId;
  readonly region: RegionId;
  readonly zones: ReadonlyMap<ZoneId, RegionId>;
  readonly services: ReadonlyMap<ServiceId, Service>;
  readonly routes: readonly Route[];
  /** Undefined if no service has homes by load. */
  readonly homes: EmulatedHomes | undefined;
}

/** An emulated VM. */
export class EmulatedVm {
  readonly vm: VmId;
  readonly zone: ZoneId;
  readonly region: RegionId;
  readonly path: RequestPath;
  isUp = true;
  readonly #options: EmulatedVmOptions;
  readonly #openRequests = new Map<GatewayExchange, EmulatedRequest>();
  /** Work of the open requests, by request id. */
  readonly #work = new Map<string, EmulatedRequest>();

  constructor(options: EmulatedVmOptions) {
    this.#options = options;
    this.vm = options.vm;
    this.zone = options.zone;
    this.region = options.region;
    const connections = new EmulatedConnections(options, this.#work);
    this.path = new RequestPath({
      steering: options.steering,
      zones: options.zones,
      dialect: EMULATED_DIALECT,
      log: new EventLog(SILENT_LOG),
      connections,
      targetChanged: () => undefined,
      homeTargetsChanged: (targets) => options.homes?.setTargets(targets),
      targetUnresponsive: () => undefined,
      probe: (target) => this.#probe(target),
      publishLimit: () => undefined,
      publishSuspects: () => undefined,
      ended: (exchange) => this.#ended(exchange),
      attemptEnded: () => undefined,
    });
    this.path.targets.setServices(options.services);
    this.path.setRoutes(options.routes);
    this.homes?.start(this.path);
    if (this.homes !== undefined) {
      this.#keepConnections(this.homes, connections);
    }
    this.#repeat(BUSY_TICK_MS, (now) => void this.path.tick(now));
    this.#repeat(IDLE_TICK_MS, (now) => this.path.idleTick(now));
  }

  /** Its homes by load, if any. */
  get homes(): EmulatedHomes | undefined {
    return this.#options.homes;
  }

  /** Applies the platform's current list of targets. */
  setTargets(targets: ReadonlyMap<TargetId, RegisteredTarget>): void {
    if (this.isUp) {
      this.path.updateTargets(targets, this.#options.loop.now);
    }
  }

  /** Handles a request; returns a function that closes its caller's connection. */
  receive(request: EmulatedRequest): () => void {
    if (!this.isUp) {
      request.respond(undefined);
      return () => undefined;
    }
    this.#work.set(request.id, request);
    const exchange = this.path.exchange({
      req: requestOf(request),
      res: responseTo(request),
      request: {
        kind: "request",
        host: request.route.host,
        path: request.route.prefix,
        requestId: request.id,
        deadlineMs: request.deadlineMs,
        object: request.object,
        credential: { kind: "none" },
        rawHeaders: ["request-id", request.id],
        contentLength: 0,
        chunked: false,
      },
      route: request.route,
      caller: anonymousCaller(request.route),
      service: request.service,
      bodyBytes: 0,
      version: 1,
      era: 1,
      now: this.#options.loop.now,
      endsConnection: () => false,
    });
    this.#openRequests.set(exchange, request);
    exchange.start();
    return () => exchange.callerClosed();
  }

  /** Ends its process: all connections are reset and all its state is lost. */
  kill(): void {
    this.isUp = false;
    this.homes?.stop();
    const open = [...this.#openRequests];
    this.#openRequests.clear();
    for (const [exchange, request] of open) {
      exchange.callerClosed();
      request.respond(undefined);
    }
  }

  #ended(exchange: GatewayExchange): void {
    this.#openRequests.delete(exchange);
    this.#work.delete(exchange.request.requestId);
  }

  #probe(id: TargetId): void {
    const { loop, target, delayMs } = this.#options;
    const emulated = target(id);
    loop.after(2 * delayMs(emulated), () => {
      if (this.isUp && emulated.isUp) {
        const { coldMs } = emulated;
        this.path.steering.probeSucceeded(id, { now: loop.now, coldMs });
      }
    });
  }

  #keepConnections(
    homes: EmulatedHomes,
    connections: EmulatedConnections,
  ): void {
    const upkeep = new ConnectionUpkeep({
      homes: () => homes.targets(),
      targetOf: (hash) => this.path.keptConnection(hash, 1),
      idleMs: (target, now) => connections.idleMs(target, now),
      refresh: (target) => connections.refresh(target),
    });
    this.#repeat(UPKEEP_TICK_MS, (now) => upkeep.tick(now));
  }

  #repeat(periodMs: number, run: (now: number) => void): void {
    const { loop } = this.#options;
    loop.after(periodMs, () => {
      if (this.isUp) {
        run(loop.now);
        this.#repeat(periodMs, run);
      }
    });
  }
}

/** A target's entry in the platform's list. */
export function listEntryOf(target: EmulatedTarget): RegisteredTarget {
  const { placed, isLeaving, instance, coldMs } = target;
  return {
    id: placed.id,
    service: placed.service,
    address: `${placed.id}:${instance}`,
    zone: placed.zone,
    slots: placed.slots,
    isLeaving,
    coldMs,
    startedAt: instance,
  };
}

/**
 * Each request has a path of its own: the gateway would otherwise take it for another
 * request that it suspects of having crashed targets.
 */
function requestOf({ id }: EmulatedRequest): IncomingMessage {
  return Object.assign(new EventEmitter(), {
    url: `/${id}`,
    method: "GET",
    socket: {},
  }) as unknown as IncomingMessage;
}

/**
 * Adds no headers to an attempt, so that its last header is the request-id, by which
 * the emulated connection finds the work. The connection passes each response as the
 * only element of the raw headers.
 */
const EMULATED_DIALECT = {
  attemptHeaders: () => [],
  readResponse: (_status: number, raw: readonly unknown[]) =>
    raw[0] as TargetResponse,
} as unknown as Dialect;

/** Passes the response of an exchange on to the emulated caller. */
function responseTo(request: EmulatedRequest): ServerResponse {
  return {
    writeHead: (status: number, lines: readonly string[]) => {
      const index = lines.indexOf("retry-after");
      const retryAfterMs = index < 0
        ? undefined
        : Number(lines[index + 1]) * 1_000;
      request.respond({ status, retryAfterMs });
    },
    write: () => true,
    end: () => undefined,
    once: () => undefined,
    destroy: () => request.respond(undefined),
  } as unknown as ServerResponse;
}
