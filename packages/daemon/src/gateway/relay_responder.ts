/**
 * Responds to other VMs that use this one as their relay.
 *
 * @module
 */

import { freshnessReport } from "@poplarthread/coordination/freshness";
import type { LongArrival } from "./open_calls.ts";
import type { WatchedSubject } from "./ports.ts";
import {
  type ReadingArrival,
  type RelayRequest,
  type RelayResponse,
  StillReadingError,
} from "./relay.ts";
import type { RowChanges } from "./row_copy.ts";
import type { RowsAge } from "./rows_age.ts";
import type { SubjectRows } from "./subject_rows.ts";
import {
  CHANGE_WAIT_MS,
  PENDING_READ_WAIT_MS,
  STALE_MARGIN_MS,
} from "./subject_times.ts";

/** Confirmations that are later than the requesting VM's by less are not news. */
const CONFIRMATION_GAIN_MS = 500;

/** What a relay is doing to get rows itself. */
export interface RelayState {
  /** Neither the store nor another VM responds. */
  readonly isLost: boolean;
  /** A response is arriving. */
  readonly isArriving: boolean;
  /** How it arrives; undefined if it has not for long. */
  readonly arrival: LongArrival | undefined;
  /** The store refused this VM, which gets its rows from other VMs. */
  readonly isSecondHand: boolean;
  /** When the store was called that has not responded since; undefined if another VM is being asked. */
  readonly storeCalledAt: number | undefined;
  /** When the store was last restored, for this VM or its relay; -Infinity if it never was. */
  readonly restoredAt: number;
}

/** Options of a {@link RelayResponder}. */
export interface RelayResponderOptions {
  readonly rows: SubjectRows;
  readonly age: RowsAge;
  state(now: number): RelayState;
}

/** See the module comment. */
export class RelayResponder {
  readonly #subject: WatchedSubject;
  readonly #options: RelayResponderOptions;
  /** Wakes requests that wait for changes. */
  readonly #waiters = new Set<() => void>();
  #isClosed = false;

  constructor(subject: WatchedSubject, options: RelayResponderOptions) {
    this.#subject = subject;
    this.#options = options;
  }

  /** Until then the copy counts as complete. */
  get staleAt(): number {
    return this.#options.age.confirmedAt + CHANGE_WAIT_MS[this.#subject] +
      STALE_MARGIN_MS;
  }

  /**
   * Response to a request, as soon as there are changes or a confirmation, or the wait is
   * over; undefined if the rows have not been read. Rejects with a
   * {@link StillReadingError} if they are arriving.
   */
  async changesAfter(
    request: RelayRequest,
  ): Promise<RelayResponse | undefined> {
    const { age, rows, state } = this.#options;
    const receivedAt = performance.now();
    const requestedAt = age.steadyNow;
    const waitUntil = receivedAt + request.waitMs;
    for (;;) {
      const isOutdated = rows.history.era < request.era &&
        rows.history.isOpen(request.era);
      const changes = isOutdated ? undefined : rows.changesAfter(request);
      const now = performance.now();
      const relay = state(now);
      if (changes === undefined) {
        const isTellDue = now >= waitUntil || isToBeTold(request, relay);
        if (relay.isArriving && isTellDue) {
          throw new StillReadingError(readingOf(relay));
        }
        const dueAt = relay.isArriving
          ? waitUntil
          : receivedAt + PENDING_READ_WAIT_MS;
        if (now >= dueAt || this.#isClosed) {
          return undefined;
        }
        await this.#waitForWake(dueAt - now);
        continue;
      }
      const dueAt = this.#dueAt(request, { receivedAt, relay, now });
      if (
        this.#isNews(changes, { request, receivedAt, relay }) || now >= dueAt
      ) {
        return this.#response(changes, { request, requestedAt, relay, now });
      }
      await this.#waitForWake(dueAt - now);
    }
  }

  /** Lets waiting requests look again. */
  wake(): void {
    const waiting = [...this.#waiters];
    this.#waiters.clear();
    waiting.forEach((wake) => wake());
  }

  close(): void {
    this.#isClosed = true;
    this.wake();
  }

  /** Whether there is something that the requesting VM must know at once. */
  #isNews(changes: RowChanges, { request, receivedAt, relay }: {
    readonly request: RelayRequest;
    readonly receivedAt: number;
    readonly relay: RelayState;
  }): boolean {
    return changes.isWhole || changes.rows.length > 0 || relay.isSecondHand ||
      (relay.isLost && request.mayReplace) ||
      this.#isConfirmation(request, receivedAt) ||
      isToBeTold(request, relay) || this.#isClosed;
  }

  /** Whether the rows were confirmed since the request, or so long after the requesting VM's that it may take itself for late. */
  #isConfirmation(
    { unconfirmedMs = 0 }: RelayRequest,
    receivedAt: number,
  ): boolean {
    const { confirmedAt } = this.#options.age;
    return confirmedAt > receivedAt ||
      confirmedAt > receivedAt - unconfirmedMs + CONFIRMATION_GAIN_MS;
  }

  /** When a request without news gets its response. */
  #dueAt(request: RelayRequest, { receivedAt, relay, now }: {
    readonly receivedAt: number;
    readonly relay: RelayState;
    readonly now: number;
  }): number {
    const waitUntil = receivedAt + request.waitMs;
    if (request.isPatient) {
      return now < this.staleAt ? now : waitUntil;
    }
    return relay.isArriving
      ? waitUntil
      : Math.min(waitUntil, this.#staleResponseAt(receivedAt, { relay, now }));
  }

  /** When a request gets its response because the rows are stale. */
  #staleResponseAt(receivedAt: number, { relay, now }: {
    readonly relay: RelayState;
    readonly now: number;
  }): number {
    const isStuck = relay.storeCalledAt !== undefined &&
      now >= relay.storeCalledAt + PENDING_READ_WAIT_MS;
    return isStuck
      ? this.staleAt
      : Math.max(this.staleAt, receivedAt + PENDING_READ_WAIT_MS);
  }

  #response(changes: RowChanges, { request, requestedAt, relay, now }: {
    readonly request: RelayRequest;
    readonly requestedAt: number;
    readonly relay: RelayState;
    readonly now: number;
  }): RelayResponse {
    const { age, rows } = this.#options;
    const arrival = readingOf(relay);
    const patches = changes.isWhole
      ? undefined
      : rows.patches.for(changes.rows, request);
    return {
      ...changes,
      ...(patches === undefined ? {} : { patches }),
      ageMs: Math.round(age.unconfirmedMs),
      ...freshnessReport(age.knownSince, {
        requestedAt,
        respondedAt: age.steadyNow,
      }),
      regainedMs: Number.isFinite(relay.restoredAt)
        ? Math.round(now - relay.restoredAt)
        : undefined,
      isSecondHand: relay.isSecondHand,
      isLost: relay.isLost,
      isReading: relay.isArriving,
      ...(arrival === undefined ? {} : { arrival }),
      numbering: rows.history.numbering,
    };
  }

  /** Settles at the next change or confirmation, after `ms` at the latest. */
  #waitForWake(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, Math.max(1, ms));
      this.#waiters.add(wake);
    });
  }
}

/** Whether the requesting VM can be told, for the first time, how long it has to wait. */
function isToBeTold({ isTold }: RelayRequest, relay: RelayState): boolean {
  return isTold === false && readingOf(relay) !== undefined;
}

/** How a long response arrives; undefined if none does, or if its length is unknown. */
function readingOf({ arrival }: RelayState): ReadingArrival | undefined {
  return arrival?.leftMs === undefined
    ? undefined
    : { forMs: arrival.forMs, leftMs: arrival.leftMs };
}
