/**
 * What the watch of one subject of the platform's store reports.
 *
 * @module
 */

import type { ExchangeEnd } from "../json_exchange.ts";
import type { Member, StoredRow } from "./ports.ts";

/** The store's history that is used from now on, and the one used before. */
export interface HistoryChange {
  readonly era: number;
  readonly eraBefore: number;
}

/** A call that has ended, of the store or of a relay. */
export interface EndedCall {
  readonly end: ExchangeEnd;
  /** The VM that was called; undefined for the store. */
  readonly relay: Member | undefined;
}

/** Rows that have arrived late. */
export interface LateRead {
  /** For how long peers knew of them; 0 if they named none. */
  readonly behindMs: number;
  /** Time since the store had last confirmed that none were missing. */
  readonly unconfirmedMs: number;
  /** The call that brought them; undefined if it is not known. */
  readonly call: EndedCall | undefined;
}

/** Receives the rows of the subject and the state of the connection. */
export interface SubjectListener {
  /**
   * The store was restored from a copy and has these rows; called before they are used.
   * For the keys that are held, what was known before stays in use.
   */
  restored(
    rows: ReadonlyMap<string, StoredRow>,
    change: HistoryChange & { readonly held: readonly string[] },
  ): void;
  /** Called with all rows, by key, after each change; again if it throws. */
  rowsChanged(rows: ReadonlyMap<string, StoredRow>): void;
  /** {@link rowsChanged} has thrown; not called for the same reason in a row. */
  rowsNotApplied(reason: string): void;
  /** Neither the store nor a relay responds (`isLost`), or one does again. */
  connectivityChanged(isLost: boolean, reason?: string): void;
  /** A response of the store is not used because it belongs to another history than expected. */
  responseNotUsed(era: number): void;
  /** Another VM named a history that the store does not have. */
  claimRefuted(claimed: number, era: number): void;
  /** A relay has not responded. */
  relayUnresponsive(relay: Member): void;
  /** A call of the store, or of a relay, has ended. */
  callEnded(call: EndedCall): void;
  /** Rows have arrived late. */
  readLate(read: LateRead): void;
  /** A source is asked beside the one in use, which is slow; both undefined for the store. */
  sourceSlow(sources: {
    readonly used: Member | undefined;
    readonly asked: Member | undefined;
  }): void;
  /** A relay is not used for a while. */
  relaySkipped(relay: Member, reason: string): void;
}
