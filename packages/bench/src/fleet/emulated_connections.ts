/**
 * Connections of an emulated VM to emulated targets.
 *
 * @module
 */

import type { TargetId } from "@poplarthread/ids";
import type { Dispatcher } from "undici";
import type {
  ConnectionSource,
  ConnectionTarget,
  TargetConnection,
  TargetResponse,
} from "@poplarthread/daemon/emulation";
import type { Steering } from "@poplarthread/placement";
import type { EventLoop } from "../decisions/event_loop.ts";
import type { EmulatedTarget, Job, JobResult } from "./emulated_target.ts";

/** The work that a request causes at a target; not part of the HTTP request. */
export interface EmulatedWork {
  readonly id: string;
  readonly object: string | undefined;
  readonly workMs: number;
  readonly warmGain: number;
}

/** What the connections of a VM depend on. */
export interface EmulatedConnectionsOptions {
  readonly loop: EventLoop;
  readonly steering: Steering;
  target(id: TargetId): EmulatedTarget;
  /** One-way network delay to a target. */
  delayMs(target: EmulatedTarget): number;
  readonly newConnectionMs: number;
  /** Time after which an idle connection is closed. */
  readonly idleTimeoutMs: number;
  /** Called for each attempt that was sent, with the request's id. */
  attemptSent(target: EmulatedTarget, request: string): void;
}

/** Pool of connections to emulated targets; idle connections are reused. */
export class EmulatedConnections implements ConnectionSource {
  readonly #options: EmulatedConnectionsOptions;
  readonly #work: ReadonlyMap<string, EmulatedWork>;
  /** Idle connections by target; those to an earlier instance of it are discarded. */
  readonly #idle = new Map<TargetId, EmulatedConnection[]>();

  constructor(
    options: EmulatedConnectionsOptions,
    work: ReadonlyMap<string, EmulatedWork>,
  ) {
    this.#options = options;
    this.#work = work;
  }

  take({ id }: { id: TargetId }): EmulatedConnection {
    const target = this.#options.target(id);
    const idle = this.#idle.get(id) ?? [];
    for (
      let connection = idle.pop();
      connection !== undefined;
      connection = idle.pop()
    ) {
      const isUsable = connection.instance === target.instance && target.isUp;
      if (isUsable && !this.#isIdleTooLong(connection)) {
        return connection;
      }
    }
    return new EmulatedConnection(target, this.#options, this.#work);
  }

  release(connection: TargetConnection): void {
    const emulated = connection as EmulatedConnection;
    emulated.idleSince = this.#options.loop.now;
    const idle = this.#idle.get(emulated.target);
    if (idle === undefined) {
      this.#idle.set(emulated.target, [emulated]);
    } else {
      idle.push(emulated);
    }
  }

  /** How long the latest idle connection has been idle; undefined if none is open. */
  idleMs(target: TargetId, now: number): number | undefined {
    const latest = this.#idle.get(target)?.at(-1);
    return latest === undefined || this.#isIdleTooLong(latest)
      ? undefined
      : now - latest.idleSince;
  }

  /** Uses an idle connection or a new one for a round trip. */
  refresh(target: ConnectionTarget): void {
    const connection = this.take(target);
    connection.refresh(() => this.release(connection));
  }

  drop(connection: TargetConnection): void {
    connection.destroy();
  }

  closeIdle(target: TargetId): void {
    this.#idle.delete(target);
  }

  /** No connection of the emulated world falls silent. */
  closeDoubtful(): void {}

  remove(target: TargetId): void {
    this.#idle.delete(target);
  }

  #isIdleTooLong({ idleSince }: EmulatedConnection): boolean {
    const { loop, idleTimeoutMs } = this.#options;
    return loop.now - idleSince > idleTimeoutMs;
  }
}

/** One connection to an emulated target; serves one request at a time. */
class EmulatedConnection implements TargetConnection {
  readonly target: TargetId;
  /** The instance of the target that it is connected to. */
  readonly instance: number;
  /** When it was last released. */
  idleSince = 0;
  readonly #target: EmulatedTarget;
  readonly #options: EmulatedConnectionsOptions;
  readonly #work: ReadonlyMap<string, EmulatedWork>;
  #isOpen = false;
  #isClosed = false;
  #job: Job | undefined;

  constructor(
    target: EmulatedTarget,
    options: EmulatedConnectionsOptions,
    work: ReadonlyMap<string, EmulatedWork>,
  ) {
    this.#target = target;
    this.#options = options;
    this.#work = work;
    this.target = target.placed.id;
    this.instance = target.instance;
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
    const connectMs = 2 * this.#delayMs + newConnectionMs;
    loop.after(connectMs, () => {
      if (this.#isClosed) {
        return;
      }
      if (!this.#target.isUp) {
        handler.onError!(new Error("connection refused"));
        return;
      }
      this.#isOpen = true;
      this.#options.steering.roundTrips
        .record(this.#target.placed.zone, connectMs);
      this.#send(request, handler);
    });
  }

  /** Connects if necessary, and calls `done` after a round trip. */
  refresh(done: () => void): void {
    const { loop, newConnectionMs } = this.#options;
    const connectMs = this.#isOpen ? 0 : 2 * this.#delayMs + newConnectionMs;
    loop.after(connectMs + 2 * this.#delayMs, () => {
      if (!this.#isClosed && this.#target.isUp) {
        this.#isOpen = true;
        done();
      }
    });
  }

  wasTruncated(): boolean {
    return false;
  }

  destroy(): void {
    if (this.#isClosed) {
      return;
    }
    this.#isClosed = true;
    const job = this.#job;
    if (job !== undefined) {
      this.#options.loop.after(this.#delayMs, () => this.#target.cancel(job));
    }
  }

  get #delayMs(): number {
    return this.#options.delayMs(this.#target);
  }

  #send(request: EmulatedWork, handler: Dispatcher.DispatchHandler): void {
    if (this.#isClosed) {
      return;
    }
    try {
      handler.onConnect!(() => this.#isClosed = true);
    } catch (err) {
      handler.onError!(err as Error);
      return;
    }
    this.#options.attemptSent(this.#target, request.id);
    const { loop } = this.#options;
    const job: Job = {
      object: request.object,
      workMs: request.workMs,
      warmGain: request.warmGain,
      done: (result) =>
        loop.after(this.#delayMs, () => {
          this.#job = undefined;
          this.#respond(result, handler, request.id);
        }),
    };
    this.#job = job;
    loop.after(this.#delayMs, () => {
      if (!this.#isClosed) {
        this.#target.submit(job);
      }
    });
  }

  #respond(
    result: JobResult,
    handler: Dispatcher.DispatchHandler,
    requestId: string,
  ): void {
    if (this.#isClosed) {
      return;
    }
    if (result.kind === "reset") {
      this.#isClosed = true;
      handler.onError!(new Error("connection reset"));
      return;
    }
    const status = result.kind === "refused" ? 503 : result.failed ? 500 : 200;
    const response: TargetResponse = {
      status,
      rawHeaders: [],
      contentLength: 0,
      isChunked: false,
      requestId,
      isStamped: true,
      isNotRun: result.kind === "refused",
      isOtherTarget: false,
      isLeaving: false,
      backOffMs: 0,
      limitPerSecond: undefined,
      load: result.load,
    };
    // The emulated dialect expects the response itself in place of the raw headers.
    const raw = [response] as unknown as Parameters<
      NonNullable<Dispatcher.DispatchHandler["onHeaders"]>
    >[1];
    handler.onHeaders!(status, raw, () => undefined, "");
    handler.onComplete!([]);
  }
}
