/**
 * Polls the health and load of the targets in this VM's region, spread evenly over
 * each poll interval.
 *
 * @module
 */

import type { Dispatcher } from "undici";
import type { TargetId } from "@poplarthread/ids";
import { Task } from "./task.ts";

/** Result of polling a target. */
export interface TargetReport {
  readonly target: TargetId;
  readonly state: "ok" | "cold" | "draining" | "failing";
  /** Requests in flight from all VMs, if the target reports it. */
  readonly inFlight?: number;
  /** Maximum age of the report. */
  readonly ageMs: number;
}

/** Messages of the task. */
export type TargetPollerMessage =
  | { readonly kind: "tick" }
  | { readonly kind: "targets"; readonly targets: readonly TargetId[] };

/** Options of {@link TargetPoller}. */
export interface TargetPollerOptions {
  readonly poolOf: (target: TargetId) => Dispatcher | undefined;
  readonly onReport: (report: TargetReport) => void;
}

/** Each target is polled once per interval, so twice within the 2 s that a leave may take. */
const POLL_INTERVAL_MS = 1_000;
const TICK_MS = 100;
/** Load is requested once in this many polls, since it changes faster than it can be reported. */
const POLLS_PER_LOAD = 4;
/** A target that takes longer counts as failing; a round trip within the region takes 3 ms. */
const RESPONSE_TIMEOUT_MS = 800;

/** Polls targets in rotation. */
export class TargetPoller extends Task<TargetPollerMessage> {
  readonly #options: TargetPollerOptions;
  readonly #polling = new Set<TargetId>();
  readonly #pollCounts = new Map<TargetId, number>();
  #targets: readonly TargetId[] = [];
  #nextIndex = 0;
  /** Number of targets due for a poll; its fraction carries over to the next tick. */
  #duePolls = 0;

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
        this.#pollDueTargets();
        return;
    }
  }

  protected override close(): void {
    this.#pollCounts.clear();
    this.#polling.clear();
  }

  #pollDueTargets(): void {
    const count = this.#targets.length;
    this.#duePolls = Math.min(
      this.#duePolls + count * TICK_MS / POLL_INTERVAL_MS,
      count,
    );
    for (; this.#duePolls >= 1; this.#duePolls -= 1) {
      this.#nextIndex = (this.#nextIndex + 1) % count;
      const target = this.#targets[this.#nextIndex]!;
      if (!this.#polling.has(target)) {
        this.#polling.add(target);
        this.spawn(this.#poll(target));
      }
    }
  }

  #isLoadDue(target: TargetId): boolean {
    const pollCount = ((this.#pollCounts.get(target) ?? 0) + 1) %
      POLLS_PER_LOAD;
    this.#pollCounts.set(target, pollCount);
    return pollCount === 0;
  }

  async #poll(target: TargetId): Promise<void> {
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
      this.#polling.delete(target);
    }
  }
}

function stateOf(health: unknown): TargetReport["state"] {
  const status = (health as { status?: unknown } | undefined)?.status;
  return status === "ok" || status === "cold" || status === "draining"
    ? status
    : "failing";
}

/** Undefined if the status is not 200. */
async function get(pool: Dispatcher, path: string): Promise<unknown> {
  const res = await pool.request({
    origin: undefined,
    path,
    method: "GET",
    signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS),
  });
  if (res.statusCode !== 200) {
    await res.body.dump();
    return undefined;
  }
  return await res.body.json();
}
