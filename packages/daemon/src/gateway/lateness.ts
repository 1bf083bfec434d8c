/**
 * How late a VM is: what peers know that it lacks, and for how long the store has not
 * confirmed that it lacks nothing.
 *
 * @module
 */

import { isWorthWaiting } from "./reading.ts";
import { LONG_ARRIVAL_MS, type OpenCall } from "./open_calls.ts";
import { Lag, type LagStep } from "./lag.ts";
import type { WatchedSubject } from "./ports.ts";
import type { ReadingArrival } from "./relay.ts";
import type { StoreVersion } from "./row_copy.ts";
import type { RowsAge } from "./rows_age.ts";
import type { EndedCall, SubjectListener } from "./subject_listener.ts";
import type { SubjectRows } from "./subject_rows.ts";
import {
  CHANGE_WAIT_MS,
  PEER_NEWS_PATIENCE_MS,
  UNCONFIRMED_MARGIN_MS,
} from "./subject_times.ts";

/** Rows that were missing for longer are reported: changes must be in force within 2.5 s and more. */
const LATE_MS = 1_000;

/** How much later than foreseen rows may come. */
const READING_TOLERANCE_MS = 100;
/** The next response may take this long after one of rows that were old already: a round trip and some more. */
const NEXT_RESPONSE_MS = 500;

/** When a change was there, at the latest, and when it will have been read. */
interface Reading {
  readonly changeAt: number;
  readonly readAt: number;
}

/** Options of a {@link Lateness}. */
export interface LatenessOptions {
  readonly rows: SubjectRows;
  readonly age: RowsAge;
  readonly listener: Pick<SubjectListener, "readLate">;
}

/** See the module comment. */
export class Lateness {
  readonly #subject: WatchedSubject;
  readonly #options: LatenessOptions;
  readonly #lag = new Lag();
  /** How old the rows were when the store last confirmed them; 0 after it was lost. */
  #unconfirmedMs = 0;
  /** When the source in use last responded. */
  #respondedAt = -Infinity;
  /** The read of the relay in use, as it has told. */
  #reading: Reading | undefined;

  constructor(subject: WatchedSubject, options: LatenessOptions) {
    this.#subject = subject;
    this.#options = options;
  }

  /** Whether the copy lacks a row of its history. */
  isBehind(seen: StoreVersion): boolean {
    return this.#options.rows.isBehind(seen, this.#options.age.steadyNow);
  }

  /** A peer has named a version that this VM lacks. */
  missed({ version }: StoreVersion): void {
    this.#lag.missed(version, performance.now());
  }

  /** The source in use has made progress with what this VM lacks. */
  progressed(): void {
    this.#lag.progressed(performance.now());
  }

  /** What to do about the call of the source in use. */
  nextStep({ isArriving, relay, startedAt }: OpenCall): LagStep {
    return this.#lag.nextStep({
      now: performance.now(),
      isArriving,
      relay: relay?.vm,
      calledAt: startedAt,
    });
  }

  /** Whether it is known when the relay in use will have read its rows. */
  get isTold(): boolean {
    return this.#reading !== undefined &&
      performance.now() < this.#reading.readAt + READING_TOLERANCE_MS;
  }

  /** The relay in use has told how its read arrives. */
  told({ forMs, leftMs }: ReadingArrival): void {
    const now = performance.now();
    this.#reading = { changeAt: now - forMs, readAt: now + leftMs };
  }

  /** When the source in use counts as slow; `call` is its call, `isLost` whether the store is lost. */
  slowAt({ isLost, call }: {
    readonly isLost: boolean;
    readonly call: OpenCall | undefined;
  }): number {
    const dueAt = this.#dueAt(isLost);
    return Math.max(
      dueAt,
      this.#foreseenAt(this.#reading, dueAt),
      this.#foreseenAt(this.#arrivalOf(call), dueAt),
    );
  }

  /** When rows will be there whose end is foreseen, if it is worth waiting for them. */
  #foreseenAt(reading: Reading | undefined, dueAt: number): number {
    if (reading === undefined) {
      return -Infinity;
    }
    const changeAt = Math.min(reading.changeAt, this.#missingSince);
    const isWaitedFor = isWorthWaiting({
      forMs: dueAt - changeAt,
      leftMs: reading.readAt - dueAt,
    });
    return isWaitedFor ? reading.readAt + READING_TOLERANCE_MS : -Infinity;
  }

  /** The response of a call that is arriving; it is waited for until its rate shows. */
  #arrivalOf(call: OpenCall | undefined): Reading | undefined {
    const begunAt = call?.arrivingSince;
    if (begunAt === undefined) {
      return undefined;
    }
    const { leftMs } = call?.longArrival ?? {};
    return {
      changeAt: begunAt,
      readAt: leftMs === undefined
        ? begunAt + LONG_ARRIVAL_MS
        : performance.now() + leftMs,
    };
  }

  /** When the source in use must have responded, or have told how long it takes. */
  #dueAt(isLost: boolean): number {
    const { age } = this.#options;
    const behindAt = this.#missingSince + PEER_NEWS_PATIENCE_MS[this.#subject];
    const unconfirmedAt = Math.max(
      age.confirmedAt + CHANGE_WAIT_MS[this.#subject] + UNCONFIRMED_MARGIN_MS,
      this.#respondedAt + NEXT_RESPONSE_MS,
    );
    return isLost ? behindAt : Math.min(behindAt, unconfirmedAt);
  }

  /** The store has confirmed the rows; must be called before {@link RowsAge.confirmed}. */
  confirmed({ wasLost }: { readonly wasLost: boolean }): void {
    const { age } = this.#options;
    this.#respondedAt = performance.now();
    this.#unconfirmedMs = wasLost || !age.isConfirmed ? 0 : age.unconfirmedMs;
  }

  /** Rows of another history are used from now on. */
  historyChanged(): void {
    this.#lag.reset();
  }

  /** Rows have arrived; reports them if they are late. */
  arrived(call: EndedCall | undefined): void {
    const { rows, listener } = this.#options;
    this.#reading = undefined;
    const behindMs = this.#lag.arrived(rows.reached, performance.now());
    const unconfirmedMs = this.#unconfirmedMs;
    const isOverdue = unconfirmedMs > CHANGE_WAIT_MS[this.#subject] + LATE_MS;
    if (behindMs > LATE_MS || isOverdue) {
      listener.readLate({ behindMs, unconfirmedMs, call });
    }
  }

  /** Since when a version is missing that peers have named and no read has refuted. */
  get #missingSince(): number {
    const { missing } = this.#lag;
    if (missing === undefined) {
      return Infinity;
    }
    const { era } = this.#options.rows.newest;
    if (!this.isBehind({ era, version: missing.version })) {
      this.#lag.reset();
      return Infinity;
    }
    return missing.since;
  }
}
