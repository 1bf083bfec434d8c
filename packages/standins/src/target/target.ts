/**
 * A stand-in for a target: a server with few slots that counts what it ran.
 *
 * Protocol: any method and path is work, except
 *
 * - `GET /health` answers `{"status": "ok" | "cold" | "draining"}`;
 * - `GET /load` answers `{"inFlight", "slots"}`.
 *
 * Work beyond the slots is refused with 503 and `poplarthread-not-run: 1`, as
 * is work whose deadline has passed when it comes. A draining target says so
 * with `poplarthread-leaving: 1` on each answer. A closed connection cancels.
 * Work that is not done by its deadline is stopped and answered with 504: it
 * did run.
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
import { oneWayMs, type Place, placeOf } from "../delays.ts";
import { readBytes, sendJson } from "../http_json.ts";
import {
  ANSWER_BYTES_HEADER,
  answerOf,
  ATTEMPT_HEADER,
  CRASH_HEADER,
  digestOf,
  WORK_MS_HEADER,
} from "../work.ts";
import { Reports, type TargetState } from "./reports.ts";
import type { Runs } from "./runs.ts";
import {
  COLD_FACTOR,
  NEW_CONNECTION_MS,
  NO_SWITCHES,
  noCounts,
  RESTART_MS,
  type TargetCounts,
  type TargetOptions,
  type TargetSwitches,
} from "./switches.ts";

const DEADLINE_HEADER = "poplarthread-deadline-ms";
const KEY_HEADER = "idempotency-key";
/** Answers over this size go out in two parts, so that one can break between them. */
const SPLIT_BYTES = 1_024;

/** A target that listens on an address of its own. */
export class Target {
  readonly #options: TargetOptions;
  readonly #runs: Runs;
  readonly #place: Place | undefined;
  readonly #reports = new Reports();
  readonly #counts = noCounts();
  readonly #sockets = new Set<Socket>();
  readonly #known = new WeakSet<Socket>();
  #server: Server;
  #switches = NO_SWITCHES;
  #inFlight = 0;
  #startedAt = 0;
  #quietFrom = Infinity;

  constructor(options: TargetOptions, runs: Runs) {
    this.#options = options;
    this.#runs = runs;
    this.#place = placeOf(options.host);
    this.#server = this.#makeServer();
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

  /** Ends at once and cuts what is in flight. */
  close(): void {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  set(switches: Partial<TargetSwitches>): void {
    this.#switches = { ...this.#switches, ...switches };
  }

  /** Counts every run that begins later than `ms` from now as one too many. */
  expectQuietAfter(ms: number): void {
    this.#quietFrom = performance.now() + ms;
  }

  #makeServer(): Server {
    const server = createServer((req, res) => {
      // A cancelled request rejects the reading of its body; it was counted when it closed.
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
    const delayMs = oneWayMs(
      placeOf(req.socket.remoteAddress),
      this.#place,
      this.#options.delays,
    );
    await this.#arrive(req.socket, delayMs);
    if (this.#switches.draining) {
      res.setHeader("poplarthread-leaving", "1");
    }
    switch (req.url) {
      case "/health":
        await sleep(delayMs);
        return this.#answerHealth(res);
      case "/load":
        await sleep(delayMs);
        return sendJson(res, 200, this.#load());
      default:
        return await this.#work(req, res, delayMs);
    }
  }

  async #arrive(socket: Socket, delayMs: number): Promise<void> {
    const isNew = !this.#known.has(socket);
    this.#known.add(socket);
    const waitMs = delayMs + (isNew ? NEW_CONNECTION_MS : 0);
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

  #answerHealth(res: ServerResponse): void {
    const health = this.#reports.health(this.#state(), this.#switches);
    sendJson(res, health === undefined ? 503 : 200, health ?? {});
  }

  #load(): { inFlight: number; slots: number } {
    const { slots } = this.#options;
    return this.#reports.load(this.#state(), this.#switches, slots);
  }

  async #work(
    req: IncomingMessage,
    res: ServerResponse,
    delayMs: number,
  ): Promise<void> {
    const arrivedAt = performance.now();
    const deadlineMs = this.#deadlineOf(req);
    const room = this.#options.slots * this.#switches.shedAbove;
    if (this.#inFlight >= room || deadlineMs <= 0) {
      this.#counts.shed += 1;
      await sleep(delayMs);
      this.#refuse(res);
      return;
    }
    this.#enter();
    try {
      const body = await readBytes(req);
      if (res.destroyed) {
        this.#counts.cancelled += 1;
        return;
      }
      const leftMs = deadlineMs - (performance.now() - arrivedAt);
      await this.#run(req, res, { body, leftMs, delayMs });
    } finally {
      this.#leave();
    }
  }

  #deadlineOf(req: IncomingMessage): number {
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

  #enter(): void {
    this.#inFlight += 1;
    this.#counts.mostAtOnce = Math.max(this.#counts.mostAtOnce, this.#inFlight);
    this.#reports.record(this.#state());
  }

  #leave(): void {
    this.#inFlight -= 1;
    this.#reports.record(this.#state());
  }

  async #run(
    req: IncomingMessage,
    res: ServerResponse,
    job: { body: Buffer; leftMs: number; delayMs: number },
  ): Promise<void> {
    const key = headerOf(req, KEY_HEADER);
    this.#counts.runs += 1;
    this.#runs.record(headerOf(req, ATTEMPT_HEADER), key);
    if (performance.now() > this.#quietFrom) {
      this.#counts.runsWhileQuiet += 1;
    }
    if (headerOf(req, CRASH_HEADER) !== "") {
      this.#crash();
      return;
    }
    const workMs = this.#workMs(req);
    const isLate = workMs > job.leftMs;
    const wasCancelled = await this.#sleepUnlessClosed(
      res,
      Math.min(workMs, job.leftMs),
    );
    if (wasCancelled) {
      this.#counts.cancelled += 1;
      return;
    }
    if (isLate) {
      this.#counts.deadlineStops += 1;
      sendJson(res, 504, { message: "stopped at its deadline" });
      return;
    }
    const digest = digestOf({
      method: req.method!,
      path: req.url!,
      key,
      body: job.body,
    });
    const bytes = Number(headerOf(req, ANSWER_BYTES_HEADER));
    await sleep(job.delayMs);
    await this.#answer(res, answerOf(digest, bytes));
  }

  #workMs(req: IncomingMessage): number {
    const asked = headerOf(req, WORK_MS_HEADER);
    const workMs = asked === "" ? this.#options.workMs : Number(asked);
    const factor = this.#state().status === "cold" ? COLD_FACTOR : 1;
    return workMs * factor * this.#switches.slowness;
  }

  /** Waits; answers whether the other side closed the connection meanwhile. */
  async #sleepUnlessClosed(res: ServerResponse, ms: number): Promise<boolean> {
    const closed = new AbortController();
    const onClose = () => closed.abort();
    res.once("close", onClose);
    try {
      await sleep(ms, undefined, { signal: closed.signal });
    } catch {
      // The wait rejects only when the connection closed; that is what is answered.
    }
    res.off("close", onClose);
    return res.destroyed;
  }

  async #answer(res: ServerResponse, answer: Buffer): Promise<void> {
    res.writeHead(200, { "content-type": "application/octet-stream" });
    if (answer.length > SPLIT_BYTES) {
      const middle = answer.length >> 1;
      res.write(answer.subarray(0, middle));
      await sleep(1);
      res.end(answer.subarray(middle));
      return;
    }
    res.end(answer);
  }

  /** Cuts everything, is away for a while, and comes back with cold caches. */
  #crash(): void {
    this.#counts.crashes += 1;
    this.close();
    setTimeout(() => {
      this.#server = this.#makeServer();
      this.listen().catch((err) => {
        console.error(`Cannot restart ${this.id}: ${err}`);
      });
    }, RESTART_MS);
  }
}

function headerOf(req: IncomingMessage, name: string): string {
  const value = req.headers[name];
  return typeof value === "string" ? value : "";
}
