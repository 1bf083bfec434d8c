/**
 * A stand-in for a target: an HTTP server with a limited number of slots that
 * counts the requests it runs.
 *
 * Protocol: every method and path is treated as work, except
 *
 * - `GET /health`, which returns `{"status": "ok" | "cold" | "draining"}`;
 * - `GET /load`, which returns `{"inFlight", "slots"}`.
 *
 * Work that exceeds the slots, or whose deadline has passed on arrival, is
 * refused with 503 and `poplarthread-not-run: 1`. A draining target adds
 * `poplarthread-leaving: 1` to each response. Work is cancelled when its
 * connection closes. Work that misses its deadline is stopped with a 504 and
 * counts as run.
 *
 * @module
 */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { oneWayDelayMs, type Location, locationOf } from "../delays.ts";
import { readBytes, sendJson } from "../http_json.ts";
import {
  RESPONSE_BYTES_HEADER,
  responseBody,
  ATTEMPT_HEADER,
  CRASH_HEADER,
  requestDigest,
  WORK_MS_HEADER,
} from "../work_protocol.ts";
import { StateReporter, type TargetState } from "./state_reporter.ts";
import type { RunCounter } from "./run_counter.ts";
import {
  COLD_SLOWDOWN,
  CONNECTION_SETUP_MS,
  DEFAULT_SWITCHES,
  zeroCounts,
  RESTART_DELAY_MS,
  type TargetCounts,
  type TargetOptions,
  type TargetSwitches,
} from "./switches.ts";

const DEADLINE_HEADER = "poplarthread-deadline-ms";
const IDEMPOTENCY_KEY_HEADER = "idempotency-key";
/** Larger responses are sent in two chunks, so that a connection can break between them. */
const MAX_UNSPLIT_BYTES = 1_024;

/** A target that listens on its own address. */
export class Target {
  readonly #options: TargetOptions;
  readonly #runCounter: RunCounter;
  readonly #location: Location | undefined;
  readonly #reporter = new StateReporter();
  readonly #counts = zeroCounts();
  readonly #sockets = new Set<Socket>();
  readonly #seenSockets = new WeakSet<Socket>();
  #server: Server;
  #switches = DEFAULT_SWITCHES;
  #inFlight = 0;
  #startedAt = 0;
  #noRunsAfter = Infinity;

  constructor(options: TargetOptions, runCounter: RunCounter) {
    this.#options = options;
    this.#runCounter = runCounter;
    this.#location = locationOf(options.host);
    this.#server = this.#createServer();
  }

  get id(): string {
    return this.#options.id;
  }

  get counts(): TargetCounts {
    return { ...this.#counts };
  }

  async listen(): Promise<void> {
    const { host, port } = this.#options;
    this.#startedAt = performance.now();
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /** Closes the listener and all connections, also those with requests in progress. */
  close(): void {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  setSwitches(switches: Partial<TargetSwitches>): void {
    this.#switches = { ...this.#switches, ...switches };
  }

  /** Counts every run that begins more than `ms` from now in `runsWhileQuiet`. */
  expectNoRunsAfter(ms: number): void {
    this.#noRunsAfter = performance.now() + ms;
  }

  #createServer(): Server {
    const server = createServer((req, res) => {
      // Reading the body fails if the connection closes meanwhile.
      this.#serve(req, res).catch(() => res.destroy());
    });
    server.maxConnections = this.#options.connections;
    server.on("drop", () => this.#counts.connectionsRefused += 1);
    server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.once("close", () => this.#sockets.delete(socket));
    });
    return server;
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const delayMs = oneWayDelayMs(
      locationOf(req.socket.remoteAddress),
      this.#location,
      this.#options.delays,
    );
    await this.#delayArrival(req.socket, delayMs);
    if (this.#switches.draining) {
      res.setHeader("poplarthread-leaving", "1");
    }
    switch (req.url) {
      case "/health":
        await sleep(delayMs);
        return this.#sendHealth(res);
      case "/load":
        await sleep(delayMs);
        return sendJson(res, 200, this.#load());
      default:
        return await this.#handleWork(req, res, delayMs);
    }
  }

  async #delayArrival(socket: Socket, delayMs: number): Promise<void> {
    const isNew = !this.#seenSockets.has(socket);
    this.#seenSockets.add(socket);
    const waitMs = delayMs + (isNew ? CONNECTION_SETUP_MS : 0);
    if (waitMs > 0) {
      await sleep(waitMs);
    }
  }

  #state(): TargetState {
    const at = performance.now();
    const isCold = at - this.#startedAt < this.#options.coldMs;
    const status = this.#switches.draining
      ? "draining"
      : isCold
      ? "cold"
      : "ok";
    return { at, inFlight: this.#inFlight, status };
  }

  #sendHealth(res: ServerResponse): void {
    const health = this.#reporter.health(this.#state(), this.#switches);
    sendJson(res, health === undefined ? 503 : 200, health ?? {});
  }

  #load(): { inFlight: number; slots: number } {
    const { slots } = this.#options;
    return this.#reporter.load(this.#state(), this.#switches, slots);
  }

  async #handleWork(
    req: IncomingMessage,
    res: ServerResponse,
    delayMs: number,
  ): Promise<void> {
    const arrivedAt = performance.now();
    const deadlineMs = this.#readDeadlineMs(req);
    const maxInFlight = this.#options.slots * this.#switches.shedAbove;
    if (this.#inFlight >= maxInFlight || deadlineMs <= 0) {
      this.#counts.shed += 1;
      await sleep(delayMs);
      this.#refuse(res);
      return;
    }
    this.#workStarted();
    try {
      const body = await readBytes(req);
      if (res.destroyed) {
        this.#counts.cancelled += 1;
        return;
      }
      const remainingMs = deadlineMs - (performance.now() - arrivedAt);
      await this.#run(req, res, { body, remainingMs, delayMs });
    } finally {
      this.#workEnded();
    }
  }

  #readDeadlineMs(req: IncomingMessage): number {
    const header = req.headers[DEADLINE_HEADER];
    if (header === undefined) {
      this.#counts.withoutDeadline += 1;
      return Infinity;
    }
    return Number(header);
  }

  #refuse(res: ServerResponse): void {
    res.writeHead(503, { "poplarthread-not-run": "1", "retry-after": "1" });
    res.end();
  }

  #workStarted(): void {
    this.#inFlight += 1;
    this.#counts.mostAtOnce = Math.max(this.#counts.mostAtOnce, this.#inFlight);
    this.#reporter.record(this.#state());
  }

  #workEnded(): void {
    this.#inFlight -= 1;
    this.#reporter.record(this.#state());
  }

  async #run(
    req: IncomingMessage,
    res: ServerResponse,
    job: { body: Buffer; remainingMs: number; delayMs: number },
  ): Promise<void> {
    const key = headerOf(req, IDEMPOTENCY_KEY_HEADER);
    this.#counts.runs += 1;
    this.#runCounter.record(headerOf(req, ATTEMPT_HEADER), key);
    if (performance.now() > this.#noRunsAfter) {
      this.#counts.runsWhileQuiet += 1;
    }
    if (headerOf(req, CRASH_HEADER) !== "") {
      this.#crash();
      return;
    }
    const workMs = this.#workDurationMs(req);
    const missesDeadline = workMs > job.remainingMs;
    const wasCancelled = await this.#sleepUnlessClosed(
      res,
      Math.min(workMs, job.remainingMs),
    );
    if (wasCancelled) {
      this.#counts.cancelled += 1;
      return;
    }
    if (missesDeadline) {
      this.#counts.deadlineStops += 1;
      sendJson(res, 504, { message: "stopped at its deadline" });
      return;
    }
    const digest = requestDigest({
      method: req.method!,
      path: req.url!,
      key,
      body: job.body,
    });
    const bytes = Number(headerOf(req, RESPONSE_BYTES_HEADER));
    await sleep(job.delayMs);
    await this.#sendResponse(res, responseBody(digest, bytes));
  }

  #workDurationMs(req: IncomingMessage): number {
    const header = headerOf(req, WORK_MS_HEADER);
    const workMs = header === "" ? this.#options.workMs : Number(header);
    const factor = this.#state().status === "cold" ? COLD_SLOWDOWN : 1;
    return workMs * factor * this.#switches.slowness;
  }

  /** Waits for `ms` or until the connection closes; returns whether it closed. */
  async #sleepUnlessClosed(res: ServerResponse, ms: number): Promise<boolean> {
    const closed = new AbortController();
    const onClose = () => closed.abort();
    res.once("close", onClose);
    try {
      await sleep(ms, undefined, { signal: closed.signal });
    } catch {
      // The wait is aborted only when the connection closes, which the return value reports.
    }
    res.off("close", onClose);
    return res.destroyed;
  }

  async #sendResponse(res: ServerResponse, body: Buffer): Promise<void> {
    res.writeHead(200, { "content-type": "application/octet-stream" });
    if (body.length > MAX_UNSPLIT_BYTES) {
      const middle = body.length >> 1;
      res.write(body.subarray(0, middle));
      await sleep(1);
      res.end(body.subarray(middle));
      return;
    }
    res.end(body);
  }

  /** Closes everything and restarts with cold caches after {@link RESTART_DELAY_MS}. */
  #crash(): void {
    this.#counts.crashes += 1;
    this.close();
    setTimeout(() => {
      this.#server = this.#createServer();
      this.listen().catch((err) => {
        console.error(`Cannot restart target ${this.id}: ${err}`);
      });
    }, RESTART_DELAY_MS);
  }
}

function headerOf(req: IncomingMessage, name: string): string {
  const value = req.headers[name];
  return typeof value === "string" ? value : "";
}
