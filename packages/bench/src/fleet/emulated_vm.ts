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
import type { Dispatcher } from "undici";
import {
  type AnnouncedTarget,
  BUSY_TICK_MS,
  type ConnectionSource,
  type Dialect,
  EventLog,
  type GatewayExchange,
  IDLE_TICK_MS,
  type Log,
  RequestPath,
  type Route,
  type Service,
  type TargetAnswer,
  type TargetConnection,
} from "@poplarthread/daemon/emulation";
import { hashText, type Steering } from "@poplarthread/placement";
import type { EventLoop } from "../decisions/event_loop.ts";
import type { EmulatedTarget, Job, JobEnd } from "./emulated_target.ts";

/** A caller's request as it comes to a VM. */
export interface EmulatedRequest {
  readonly id: string;
  readonly route: Route;
  readonly service: ServiceId;
  readonly object: string | undefined;
  readonly workMs: number;
  readonly warmGain: number;
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
export interface EmulatedVmOptions {
  readonly vm: VmId;
  readonly zone: ZoneId;
  readonly region: RegionId;
  readonly zones: ReadonlyMap<ZoneId, RegionId>;
  readonly services: ReadonlyMap<ServiceId, Service>;
  readonly loop: EventLoop;
  readonly steering: Steering;
  target(id: TargetId): EmulatedTarget;
  /** One-way delay to a target. */
  delayMs(target: EmulatedTarget): number;
  readonly newConnectionMs: number;
  /** Told of each attempt that was written. */
  attempted(target: EmulatedTarget): void;
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
      publishCrash: () => undefined,
      ended: (exchange) => this.#ended(exchange),
      attemptEnded: () => undefined,
    });
    this.path.targets.setServices(options.services);
    this.#every(BUSY_TICK_MS, (now) => this.path.busyTick(now));
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
        lines: ["request-id", request.id],
        contentLength: 0,
        chunked: false,
      },
      route: request.route,
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

/** Connections to emulated targets, kept while they are idle. */
class EmulatedConnections implements ConnectionSource {
  readonly #options: EmulatedVmOptions;
  readonly #work: ReadonlyMap<string, EmulatedRequest>;
  /** Idle connections, with the target's life that they lead to. */
  readonly #idle = new Map<TargetId, EmulatedConnection[]>();

  constructor(
    options: EmulatedVmOptions,
    work: ReadonlyMap<string, EmulatedRequest>,
  ) {
    this.#options = options;
    this.#work = work;
  }

  take({ id }: { id: TargetId }): EmulatedConnection {
    const target = this.#options.target(id);
    const idle = this.#idle.get(id) ?? [];
    for (let one = idle.pop(); one !== undefined; one = idle.pop()) {
      if (one.life === target.life && target.isUp) {
        return one;
      }
    }
    return new EmulatedConnection(target, this.#options, this.#work);
  }

  giveBack(connection: TargetConnection): void {
    const own = connection as EmulatedConnection;
    const idle = this.#idle.get(own.target);
    if (idle === undefined) {
      this.#idle.set(own.target, [own]);
    } else {
      idle.push(own);
    }
  }

  drop(connection: TargetConnection): void {
    connection.destroy();
  }

  forget(target: TargetId): void {
    this.#idle.delete(target);
  }
}

/** One connection to an emulated target; serves one request at a time. */
class EmulatedConnection implements TargetConnection {
  readonly target: TargetId;
  readonly life: number;
  readonly #to: EmulatedTarget;
  readonly #options: EmulatedVmOptions;
  readonly #work: ReadonlyMap<string, EmulatedRequest>;
  #isOpen = false;
  #isCut = false;
  #job: Job | undefined;

  constructor(
    to: EmulatedTarget,
    options: EmulatedVmOptions,
    work: ReadonlyMap<string, EmulatedRequest>,
  ) {
    this.#to = to;
    this.#options = options;
    this.#work = work;
    this.target = to.placed.id;
    this.life = to.life;
  }

  dispatch(
    { headers }: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): void {
    const { loop, newConnectionMs } = this.#options;
    const request = this.#work.get((headers as string[]).at(-1)!)!;
    if (this.#isOpen) {
      loop.after(0, () => this.#send(request, handler));
      return;
    }
    const connectMs = 2 * this.#wayMs + newConnectionMs;
    loop.after(connectMs, () => {
      if (this.#isCut) {
        return;
      }
      if (!this.#to.isUp) {
        handler.onError!(new Error("connection refused"));
        return;
      }
      this.#isOpen = true;
      this.#options.steering.roundTrips
        .measured(this.#to.placed.zone, connectMs);
      this.#send(request, handler);
    });
  }

  wasCut(): boolean {
    return false;
  }

  destroy(): void {
    if (this.#isCut) {
      return;
    }
    this.#isCut = true;
    const job = this.#job;
    if (job !== undefined) {
      this.#options.loop.after(this.#wayMs, () => this.#to.cancel(job));
    }
  }

  get #wayMs(): number {
    return this.#options.delayMs(this.#to);
  }

  #send(request: EmulatedRequest, handler: Dispatcher.DispatchHandler): void {
    if (this.#isCut) {
      return;
    }
    try {
      handler.onConnect!(() => this.#isCut = true);
    } catch (err) {
      handler.onError!(err as Error);
      return;
    }
    this.#options.attempted(this.#to);
    const { loop } = this.#options;
    const job: Job = {
      object: request.object,
      workMs: request.workMs,
      warmGain: request.warmGain,
      done: (end) =>
        loop.after(this.#wayMs, () => {
          this.#job = undefined;
          this.#answer(end, handler, request.id);
        }),
    };
    this.#job = job;
    loop.after(this.#wayMs, () => {
      if (!this.#isCut) {
        this.#to.take(job);
      }
    });
  }

  #answer(
    end: JobEnd,
    handler: Dispatcher.DispatchHandler,
    requestId: string,
  ): void {
    if (this.#isCut) {
      return;
    }
    if (end.kind === "reset") {
      this.#isCut = true;
      handler.onError!(new Error("connection reset"));
      return;
    }
    const status = end.kind === "refused" ? 503 : end.failed ? 500 : 200;
    const answer: TargetAnswer = {
      status,
      lines: [],
      contentLength: 0,
      isChunked: false,
      requestId,
      isStamped: true,
      notRun: end.kind === "refused",
      isOtherTarget: false,
      load: end.load,
    };
    // The dialect below takes the answer as it is.
    const raw = [answer] as unknown as Parameters<
      NonNullable<Dispatcher.DispatchHandler["onHeaders"]>
    >[1];
    handler.onHeaders!(status, raw, () => undefined, "");
    handler.onComplete!([]);
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

/** Hash of a target's name, as the directory has it. */
export function placedHash(id: TargetId): number {
  return hashText(id);
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

const SILENT_LOG: Log = {
  error: () => undefined,
  warn: () => undefined,
  info: () => undefined,
  debug: () => undefined,
  debugs: false,
  dropped: 0,
};

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
