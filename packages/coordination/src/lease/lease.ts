/**
 * A task that acquires and renews one lease, and releases it at a planned stop.
 *
 * @module
 */

import {
  type Condition,
  type Table,
  TableError,
  type TransactionResult,
  type Write,
} from "../table.ts";
import {
  advanceLease,
  fence,
  fencedTransaction,
  heldToken,
  type LeaseContender,
  type LeaseState,
  type LeaseStep,
  newLease,
  nextLeaseStep,
  stopLease,
} from "./lease_core.ts";

/** Renewals per lease duration: two may be lost before the lease expires. */
const RENEWALS_PER_DURATION = 3;

/** The result of a fenced write. */
export type FencedResult =
  | TransactionResult
  /** This VM does not hold the lease by its own clock; no call was sent. */
  | { readonly kind: "not-held" }
  /** Another VM has taken over the lease; nothing was written. */
  | { readonly kind: "fenced-off" };

/** One VM's contender for a lease. */
export class Lease {
  readonly #table: Table;
  #state: LeaseState;
  #timer: ReturnType<typeof setTimeout> | undefined;
  #isRunning = false;
  #pendingStep: Promise<void> = Promise.resolve();

  constructor(table: Table, contender: LeaseContender) {
    this.#table = table;
    this.#state = newLease(contender);
  }

  /** The fencing token while this VM holds the lease by its own clock. */
  get token(): number | undefined {
    return heldToken(this.#state, performance.now());
  }

  /** Starts contending for the lease. */
  start(): void {
    if (!this.#isRunning) {
      this.#isRunning = true;
      this.#scheduleSteps();
    }
  }

  /**
   * Stops contending, and releases the lease if held, so that the next holder
   * need not wait for its expiry. Never throws {@link TableError}.
   */
  async stop(): Promise<void> {
    this.#isRunning = false;
    clearTimeout(this.#timer);
    await this.#pendingStep;
    const { state, release } = stopLease(this.#state);
    this.#state = state;
    if (release !== undefined) {
      await this.#perform(release);
    }
  }

  /**
   * Writes only if the table still shows this VM as the holder: the write of a
   * holder that was paused until another VM took over is refused. The write
   * also requires `conditions`. Throws TableError; with effect `unknown` the
   * write may have been applied.
   */
  async transact(
    writes: readonly Write[],
    conditions: readonly Condition[] = [],
  ): Promise<FencedResult> {
    const token = this.token;
    if (token === undefined) {
      return { kind: "not-held" };
    }
    const { name } = this.#state.contender;
    const write = { token, writes, conditions };
    const result = await this.#table.transact(fencedTransaction(name, write));
    const isFencedOff = result.kind === "conflict" &&
      result.rows.some(({ key }) => key === fence(name, token).key);
    return isFencedOff ? { kind: "fenced-off" } : result;
  }

  #scheduleSteps(): void {
    this.#pendingStep = this.#runStep().then(() => {
      if (this.#isRunning) {
        const { durationMs } = this.#state.contender;
        const intervalMs = durationMs / RENEWALS_PER_DURATION;
        this.#timer = setTimeout(() => this.#scheduleSteps(), intervalMs);
      }
    });
  }

  /**
   * Performs the next step; acquires a lease that was just read as free without
   * waiting for the next renewal time.
   */
  async #runStep(): Promise<void> {
    const first = nextLeaseStep(this.#state, performance.now());
    if (first === undefined) {
      return;
    }
    await this.#perform(first);
    const second = nextLeaseStep(this.#state, performance.now());
    if (first.kind === "read" && second?.kind === "transact") {
      await this.#perform(second);
    }
  }

  async #perform(step: LeaseStep): Promise<void> {
    const startedAt = performance.now();
    try {
      if (step.kind === "read") {
        const [lease, beat] = await this.#table.read(step.keys);
        const rows = { lease: lease!, beat: beat! };
        const receivedAt = performance.now();
        const event = { kind: "rows", rows, receivedAt: receivedAt } as const;
        this.#state = advanceLease(this.#state, event);
        return;
      }
      const result = await this.#table.transact(step.transaction);
      const event = { kind: "result", step, result, startedAt } as const;
      this.#state = advanceLease(this.#state, event);
    } catch (err) {
      if (!(err instanceof TableError)) {
        throw err;
      }
      const failed = { kind: "failed", effect: err.effect } as const;
      this.#state = advanceLease(this.#state, failed);
    }
  }
}
