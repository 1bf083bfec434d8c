/**
 * Connections of an emulated VM to emulated targets.
 *
 * @module
 */

import type { TargetId } from "@poplarthread/ids";
import type { Dispatcher } from "undici";
import type {
  ConnectionSource,
  TargetAnswer,
  TargetConnection,
} from "@poplarthread/daemon/emulation";
import type { Steering } from "@poplarthread/placement";
import type { EventLoop } from "../decisions/event_loop.ts";
import type { EmulatedTarget, Job, JobEnd } from "./emulated_target.ts";

/** What a target is asked to do, beside what the wire says. */
export interface EmulatedWork {
  readonly id: string;
  readonly object: string | undefined;
  readonly workMs: number;
  readonly warmGain: number;
}

/** What connections work with. */
export interface EmulatedConnectionsOptions {
  readonly loop: EventLoop;
  readonly steering: Steering;
  target(id: TargetId): EmulatedTarget;
  /** One-way delay to a target. */
  delayMs(target: EmulatedTarget): number;
  readonly newConnectionMs: number;
  /** Told of each attempt that was written. */
  attempted(target: EmulatedTarget): void;
}

/** Connections to emulated targets, kept while they are idle. */
export class EmulatedConnections implements ConnectionSource {
  readonly #options: EmulatedConnectionsOptions;
  readonly #work: ReadonlyMap<string, EmulatedWork>;
  /** Idle connections, with the target's life that they lead to. */
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
  readonly #options: EmulatedConnectionsOptions;
  readonly #work: ReadonlyMap<string, EmulatedWork>;
  #isOpen = false;
  #isCut = false;
  #job: Job | undefined;

  constructor(
    to: EmulatedTarget,
    options: EmulatedConnectionsOptions,
    work: ReadonlyMap<string, EmulatedWork>,
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

  #send(request: EmulatedWork, handler: Dispatcher.DispatchHandler): void {
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
      isLeaving: false,
      restMs: 0,
      limitPerSecond: undefined,
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
