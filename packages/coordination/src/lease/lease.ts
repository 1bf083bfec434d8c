/**
 * Contends for one lease: acquires, renews, and hands it over at a planned
 * stop.
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

/** Renewals in one duration: two may be lost before the lease lapses. */
const RENEWALS_PER_DURATION = 3;

/** How a fenced write ended. */
export type FencedResult =
  | TransactionResult
  /** This VM does not hold the lease by its own clock; nothing was sent. */
  | { readonly kind: "not-held" }
  /** Another VM took the lease over; nothing was written. */
  | { readonly kind: "fenced-off" };

/** A lease that one VM contends for. */
export class Lease {
  readonly #table: Table;
  #state: LeaseState;
  #timer: ReturnType<typeof setTimeout> | undefined;
  #running = false;
  #step: Promise<void> = Promise.resolve();

  constructor(table: Table, contender: LeaseContender) {
    this.#table = table;
    this.#state = newLease(contender);
  }

  /** The fencing token while this VM holds the lease by its own clock. */
  get token(): number | undefined {
    return heldToken(this.#state, performance.now());
  }

  /** Contends from now on. */
  start(): void {
    if (!this.#running) {
      this.#running = true;
      this.#beat();
    }
  }

  /** Releases the lease if held, so that the next holder need not wait. Never throws. */
  async stop(): Promise<void> {
    this.#running = false;
    clearTimeout(this.#timer);
    await this.#step;
    const { state, release } = stopLease(this.#state);
    this.#state = state;
    if (release !== undefined) {
      await this.#perform(release);
    }
  }

  /**
   * Writes only if this VM still holds the lease, by the table's judgement: a
   * holder that was paused past its lease is refused. Further conditions may
   * be added. Throws TableError; with effect `unknown` the write may have been
   * applied.
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

  #beat(): void {
    this.#step = this.#stepOnce().then(() => {
      if (this.#running) {
        const { durationMs } = this.#state.contender;
        const wait = durationMs / RENEWALS_PER_DURATION;
        this.#timer = setTimeout(() => this.#beat(), wait);
      }
    });
  }

  /** One exchange; a free lease that was just seen is taken without waiting for the next beat. */
  async #stepOnce(): Promise<void> {
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
        const answeredAt = performance.now();
        const event = { kind: "rows", rows, answeredAt } as const;
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
