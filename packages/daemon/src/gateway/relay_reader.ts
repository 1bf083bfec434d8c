/**
 * Reads one subject from another VM, and judges what its response is worth.
 *
 * @module
 */

import type { ChangeSources } from "./change_sources.ts";
import type { OpenCall } from "./open_calls.ts";
import type { Member, WatchedSubject } from "./ports.ts";
import type { ReadResult } from "./read_sink.ts";
import { isWorthWaiting } from "./reading.ts";
import { relayedRead, type RelayRequest, type RelayResponse } from "./relay.ts";
import type { RowsAge } from "./rows_age.ts";
import type { StoreContact } from "./store_contact.ts";
import type { SubjectListener } from "./subject_listener.ts";
import type { SubjectRows } from "./subject_rows.ts";
import { CHANGE_WAIT_MS, STALE_MARGIN_MS } from "./subject_times.ts";

/** How much older rows may be while a relay reads newer ones, and how long it may read all: on a narrow link, its VMs would need longer together. */
export const READING_MARGIN_MS = 1_500;
/** Back-off from a relay whose rows are stale: it notices that by then, too. */
const STALE_BACK_OFF_MS = 500;
/** How much longer than the store itself a relay may take: it passes a confirmation on only after it has received it. */
export const RELAY_EXTRA_WAIT_MS = 250;
/** How long a fallback may wait for the store. */
const FALLBACK_WAIT_MS = 400;
/** Back-off from a fallback whose rows the store has not confirmed since the local VM lost it: a VM that reaches the store gets a confirmation each second. */
const UNCONFIRMED_BACK_OFF_MS = 300;
/** How long a relay that has lost the store is replaced by the next one. */
const LOST_RELAY_MS = 1_000;
/** Back-off from a relay that gets its rows from other VMs, not from the store. */
const RELAYED_BACK_OFF_MS = 2_000;

/** How a relay is asked. */
export interface RelayReadOptions {
  readonly call: OpenCall;
  /** It is asked beside another source. */
  readonly isSecond?: boolean;
  /** It is known how long the relay will be reading. */
  readonly isTold: boolean;
  /** See {@link RelayRequest}. */
  readonly signals: Pick<
    RelayRequest,
    "signal" | "repeatSignal" | "cancelSignal"
  >;
}

/** Options of a {@link RelayReader}. */
export interface RelayReaderOptions {
  readonly rows: SubjectRows;
  readonly age: RowsAge;
  readonly sources: ChangeSources;
  readonly contact: StoreContact;
  readonly listener: Pick<SubjectListener, "relaySkipped">;
  queryRelay(relay: Member, request: RelayRequest): Promise<RelayResponse>;
}

/** See the module comment. */
export class RelayReader {
  readonly #subject: WatchedSubject;
  readonly #options: RelayReaderOptions;

  constructor(subject: WatchedSubject, options: RelayReaderOptions) {
    this.#subject = subject;
    this.#options = options;
  }

  /** Asks a relay for changes. Resolves with those to be applied; undefined if its rows cannot be used. */
  async read(
    relay: Member,
    { call, isSecond = false, isTold, signals }: RelayReadOptions,
  ): Promise<ReadResult | undefined> {
    const { rows, age, sources, contact, queryRelay } = this.#options;
    const isFallback = sources.isFallback(relay);
    const requestedAt = age.steadyNow;
    const mayReplace = !isFallback && !isSecond && !contact.isLost &&
      sources.mayReplaceLost(performance.now());
    const response = await queryRelay(relay, {
      version: rows.history.isWholeDue ? -1 : rows.position ?? -1,
      bases: rows.largeRows,
      era: rows.history.era,
      numbering: rows.history.numbering,
      // A fallback that has lost the store, too, could hold the request for the whole
      // wait, and this VM would notice the store's return late.
      waitMs: isFallback && contact.isLost
        ? FALLBACK_WAIT_MS
        : CHANGE_WAIT_MS[this.#subject] + RELAY_EXTRA_WAIT_MS,
      isPatient: contact.isLost,
      isTold,
      unconfirmedMs: Math.round(age.unconfirmedMs),
      mayReplace,
      ...signals,
      begun: call.begun,
      ended: call.requestEnded,
    });
    const times = { requestedAt, respondedAt: age.steadyNow };
    const read = {
      ...relayedRead(response, times),
      rows: rows.patches.resolve(response),
    };
    const { isWhole, isReading, arrival } = response;
    if (!isWhole) {
      rows.checkRoom(read.rows);
    }
    const verdict = rows.history.judge(read, { isOwn: false, isWhole });
    if (rows.history.isWholeDue) {
      return undefined;
    }
    if (verdict === "unused") {
      const reason = "its rows are from before the store was restored";
      this.#backOff(relay, STALE_BACK_OFF_MS, reason);
      return undefined;
    }
    const confirmedAt = this.#judge(relay, response, {
      // One that isn't a relay may have lost the store as well.
      isFallback: isFallback || (isSecond && contact.isLost),
      mayReplace,
      arrivedMs: call.arrivedMs,
    });
    return { read, isWhole, verdict, isReading, arrival, confirmedAt };
  }

  /** Notes what a response says of the relay. Returns when the store confirmed the rows; undefined if that doesn't count. */
  #judge(relay: Member, response: RelayResponse, options: {
    /** For how long the response arrived. */
    readonly arrivedMs: number;
    readonly isFallback: boolean;
    readonly mayReplace: boolean;
  }): number | undefined {
    const { arrivedMs, isFallback, mayReplace } = options;
    const { sources, contact, listener } = this.#options;
    const now = performance.now();
    const confirmedAt = now - response.ageMs - arrivedMs;
    const isFresh =
      response.ageMs < CHANGE_WAIT_MS[this.#subject] + STALE_MARGIN_MS;
    contact.relayRegained(response.regainedMs, now);
    const isConfirmedSince = isFresh && confirmedAt > contact.lostAt;
    if (sources.isFallback(relay)) {
      sources.fallbackResponded(isConfirmedSince, now);
    }
    // A confirmation from before the loss doesn't show that the fallback reaches the store.
    const isConfirmation = isFallback ? isConfirmedSince : isFresh;
    if (response.isLost && mayReplace) {
      sources.replaceLost(relay, now + LOST_RELAY_MS);
      listener.relaySkipped(relay, "it has lost the store");
    } else if (!isFresh) {
      if (!this.#isReadInTime(response)) {
        this.#backOff(relay, STALE_BACK_OFF_MS, "its rows are stale");
      }
    } else if (!isConfirmation) {
      this.#backOff(
        relay,
        UNCONFIRMED_BACK_OFF_MS,
        "the store has not confirmed its rows since the loss; it may have lost the store, too",
      );
    } else if (response.isSecondHand) {
      sources.exclude(relay, now + RELAYED_BACK_OFF_MS);
      const reason = "the store refused it; it gets its rows from other VMs";
      listener.relaySkipped(relay, reason);
    }
    return isConfirmation ? confirmedAt : undefined;
  }

  /** Whether a relay is reading what its rows lack, and has not taken too long. */
  #isReadInTime(
    { isReading, isSecondHand, ageMs, arrival }: RelayResponse,
  ): boolean {
    // One that gets its rows from other VMs responds at once each time.
    if (!isReading || isSecondHand) {
      return false;
    }
    return arrival === undefined
      ? ageMs < CHANGE_WAIT_MS[this.#subject] + READING_MARGIN_MS
      : isWorthWaiting(arrival);
  }

  #backOff(relay: Member, ms: number, reason: string): void {
    const { sources, listener } = this.#options;
    sources.backOff(relay, performance.now() + ms);
    listener.relaySkipped(relay, reason);
  }
}
