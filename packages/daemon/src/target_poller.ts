/**
 * Asks the targets of this VM's own region how they are, one after another, so
 * that the questions of a second are spread over it.
 *
 * @module
 */

import type { Dispatcher } from "undici";
import type { TargetId } from "@poplarthread/ids";
import { Task } from "./task.ts";

/** What a target said of itself. */
export interface TargetReport {
  readonly target: TargetId;
  readonly state: "ok" | "cold" | "draining" | "failing";
  /** Requests in flight of all VMs, where it tells. */
  readonly inFlight?: number;
  /** Age of the measurement, in milliseconds, as far as this VM can tell. */
  readonly ageMs: number;
}

/** What the task is told. */
export type TargetPollerMessage =
  | { readonly kind: "tick" }
  | { readonly kind: "targets"; readonly targets: readonly TargetId[] };

/** Construction of the task. */
export interface TargetPollerOptions {
  readonly poolOf: (target: TargetId) => Dispatcher | undefined;
  readonly onReport: (report: TargetReport) => void;
}

/** Each target is asked once in this time: two polls within the 2 s that a leave may take. */
const ROUND_MS = 1_000;
const TICK_MS = 100;
/** Load is asked for in each round of so many: it changes faster than it can be told. */
const ROUNDS_PER_LOAD = 4;
/** An answer later than this is no answer: a round trip in the region takes 3 ms. */
const TIMEOUT_MS = 800;

/** Asks in turn. */
export class TargetPoller extends Task<TargetPollerMessage> {
  readonly #options: TargetPollerOptions;
  readonly #asking = new Set<TargetId>();
  readonly #rounds = new Map<TargetId, number>();
  #targets: readonly TargetId[] = [];
  #next = 0;
  /** Targets that are due, as a fraction carried from tick to tick. */
  #due = 0;

  constructor(options: TargetPollerOptions) {
    super("target-poller");
    this.#options = options;
  }

  protected override open(): void {
    this.sendEvery(TICK_MS, { kind: "tick" });
  }

  protected override receive(message: TargetPollerMessage): void {
    switch (message.kind) {
      case "targets":
        this.#targets = message.targets;
        return;
      case "tick":
        this.#askSome();
        return;
    }
  }

  protected override close(): void {
    this.#rounds.clear();
    this.#asking.clear();
  }

  #askSome(): void {
    const count = this.#targets.length;
    this.#due = Math.min(this.#due + count * TICK_MS / ROUND_MS, count);
    for (; this.#due >= 1; this.#due -= 1) {
      this.#next = (this.#next + 1) % count;
      const target = this.#targets[this.#next]!;
      if (!this.#asking.has(target)) {
        this.#asking.add(target);
        this.spawn(this.#ask(target));
      }
    }
  }

  #isLoadDue(target: TargetId): boolean {
    const round = ((this.#rounds.get(target) ?? 0) + 1) % ROUNDS_PER_LOAD;
    this.#rounds.set(target, round);
    return round === 0;
  }

  async #ask(target: TargetId): Promise<void> {
    const pool = this.#options.poolOf(target);
    const startedAt = performance.now();
    try {
      if (pool === undefined) {
        return;
      }
      const [health, load] = await Promise.all([
        get(pool, "/health"),
        this.#isLoadDue(target) ? get(pool, "/load") : undefined,
      ]);
      const ageMs = performance.now() - startedAt;
      const inFlight = (load as { inFlight?: unknown } | undefined)?.inFlight;
      this.#options.onReport({
        target,
        state: stateOf(health),
        ageMs,
        ...(typeof inFlight === "number" ? { inFlight } : {}),
      });
    } catch {
      const ageMs = performance.now() - startedAt;
      this.#options.onReport({ target, state: "failing", ageMs });
    } finally {
      this.#asking.delete(target);
    }
  }
}

function stateOf(health: unknown): TargetReport["state"] {
  const status = (health as { status?: unknown } | undefined)?.status;
  return status === "ok" || status === "cold" || status === "draining"
    ? status
    : "failing";
}

/** Undefined where it answers, but not with what it should. */
async function get(pool: Dispatcher, path: string): Promise<unknown> {
  const res = await pool.request({
    origin: undefined,
    path,
    method: "GET",
    signal: AbortSignal.timeout(TIMEOUT_MS),
  });
  if (res.statusCode !== 200) {
    await res.body.dump();
    return undefined;
  }
  return await res.body.json();
}
