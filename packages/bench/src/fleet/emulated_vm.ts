/**
 * One VM in virtual time: the gateway's own request path, with connections that
 * lead to emulated targets.
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
  type AnnouncedTarget,
  anonymous,
  BUSY_TICK_MS,
  type Dialect,
  EventLog,
  type GatewayExchange,
  IDLE_TICK_MS,
  RequestPath,
  type Route,
  type Service,
  SILENT_LOG,
  type TargetAnswer,
} from "@poplarthread/daemon/emulation";
import {
  EmulatedConnections,
  type EmulatedConnectionsOptions,
  type EmulatedWork,
} from "./emulated_connections.ts";
import type { EmulatedTarget } from "./emulated_target.ts";

/** A caller's request as it comes to a VM. */
export interface EmulatedRequest extends EmulatedWork {
  readonly route: Route;
  readonly service: ServiceId;
  /** How long its caller still waits. */
  readonly deadlineMs: number;
  /** Its final answer; undefined where the connection closes without one. */
  answered(answer: EmulatedAnswer | undefined): void;
}

/** What a caller gets. */
export interface EmulatedAnswer {
  readonly status: number;
  readonly retryAfterMs: number | undefined;
}

/** What a VM works with. */
export interface EmulatedVmOptions extends EmulatedConnectionsOptions {
  readonly vm: VmId;
  readonly zone: ZoneId;
  readonly region: RegionId;
  readonly zones: ReadonlyMap<ZoneId, RegionId>;
  readonly services: ReadonlyMap<ServiceId, Service>;
}

/** See the module's comment. */
export class EmulatedVm {
  readonly vm: VmId;
  readonly zone: ZoneId;
  readonly region: RegionId;
  readonly path: RequestPath;
  isUp = true;
  readonly #options: EmulatedVmOptions;
  readonly #open = new Map<GatewayExchange, EmulatedRequest>();
  /** What an attempt asks its target to do, by the caller's id of the request. */
  readonly #work = new Map<string, EmulatedRequest>();

  constructor(options: EmulatedVmOptions) {
    this.#options = options;
    this.vm = options.vm;
    this.zone = options.zone;
    this.region = options.region;
    this.path = new RequestPath({
      steering: options.steering,
      zones: options.zones,
      dialect: DIALECT,
      log: new EventLog(SILENT_LOG),
      connections: new EmulatedConnections(options, this.#work),
      targetChanged: () => undefined,
      targetSilent: () => undefined,
      probe: (target) => this.#probe(target),
      publishLimit: () => undefined,
      publishCrash: () => undefined,
      ended: (exchange) => this.#ended(exchange),
      attemptEnded: () => undefined,
    });
    this.path.targets.setServices(options.services);
    this.#every(BUSY_TICK_MS, (now) => void this.path.tick(now));
    this.#every(IDLE_TICK_MS, (now) => this.path.idleTick(now));
  }

  /** Takes the platform's list in. */
  listed(targets: ReadonlyMap<TargetId, AnnouncedTarget>): void {
    if (this.isUp) {
      this.path.listed(targets, this.#options.loop.now);
    }
  }

  /** Takes a request in; returns how its caller leaves. */
  request(request: EmulatedRequest): () => void {
    if (!this.isUp) {
      request.answered(undefined);
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
        lines: ["request-id", request.id],
        contentLength: 0,
        chunked: false,
      },
      route: request.route,
      caller: anonymous(request.route),
      service: request.service,
      bodyBytes: 0,
      version: 1,
      now: this.#options.loop.now,
      endsConnection: () => false,
    });
    this.#open.set(exchange, request);
    exchange.start();
    return () => exchange.callerClosed();
  }

  /** Its process ends: all connections are reset, and all that it knew is gone. */
  kill(): void {
    this.isUp = false;
    const open = [...this.#open];
    this.#open.clear();
    for (const [exchange, request] of open) {
      exchange.callerClosed();
      request.answered(undefined);
    }
  }

  #ended(exchange: GatewayExchange): void {
    this.#open.delete(exchange);
    this.#work.delete(exchange.request.requestId);
  }

  #probe(id: TargetId): void {
    const { loop, target, delayMs } = this.#options;
    const asked = target(id);
    loop.after(2 * delayMs(asked), () => {
      if (this.isUp && asked.isUp) {
        const { coldMs } = asked;
        this.path.steering.probeAnswered(id, { now: loop.now, coldMs });
      }
    });
  }

  #every(periodMs: number, work: (now: number) => void): void {
    const { loop } = this.#options;
    loop.after(periodMs, () => {
      if (this.isUp) {
        work(loop.now);
        this.#every(periodMs, work);
      }
    });
  }
}

/** An entry of the platform's list for a target. */
export function announced(target: EmulatedTarget): AnnouncedTarget {
  const { placed, isLeaving, life, coldMs } = target;
  return {
    id: placed.id,
    service: placed.service,
    address: `${placed.id}:${life}`,
    zone: placed.zone,
    slots: placed.slots,
    leaving: isLeaving,
    coldMs,
    startedAt: life,
  };
}

/** Each request has a path of its own, or it would be taken for another one that crashed targets. */
function requestOf({ id }: EmulatedRequest): IncomingMessage {
  return Object.assign(new EventEmitter(), {
    url: `/${id}`,
    method: "GET",
    socket: {},
  }) as unknown as IncomingMessage;
}

/** The attempt's lines name the request, by which its connection finds the work. */
const DIALECT = {
  attemptLines: () => [],
  readAnswer: (_status: number, raw: readonly unknown[]) =>
    raw[0] as TargetAnswer,
} as unknown as Dialect;

/** Takes the one answer of an exchange. */
function responseTo(request: EmulatedRequest): ServerResponse {
  return {
    writeHead: (status: number, lines: readonly string[]) => {
      const at = lines.indexOf("retry-after");
      const retryAfterMs = at < 0 ? undefined : Number(lines[at + 1]) * 1_000;
      request.answered({ status, retryAfterMs });
    },
    write: () => true,
    end: () => undefined,
    once: () => undefined,
    destroy: () => request.answered(undefined),
  } as unknown as ServerResponse;
}
