/**
 * Takes over what was read of one subject, from whichever source.
 *
 * @module
 */

import type { Lateness } from "./lateness.ts";
import type { ReadingArrival } from "./relay.ts";
import type { RelayResponder } from "./relay_responder.ts";
import type { RowsAge } from "./rows_age.ts";
import type { StoreContact } from "./store_contact.ts";
import type { EndedCall } from "./subject_listener.ts";
import type { RowsRead, SubjectRows, UsedRead } from "./subject_rows.ts";

/** Rows that were read, and what the response said besides. */
export interface ReadResult extends UsedRead {
  readonly read: RowsRead;
  /** When the store confirmed the rows, on the monotonic clock; undefined if that is too long ago. */
  readonly confirmedAt: number | undefined;
  /** The relay will have more soon. */
  readonly isReading?: boolean;
  /** How that arrives, as far as the relay knows. */
  readonly arrival?: ReadingArrival | undefined;
}

/** Options of a {@link ReadSink}. */
export interface ReadSinkOptions {
  readonly rows: SubjectRows;
  readonly age: RowsAge;
  readonly contact: StoreContact;
  readonly lateness: Lateness;
  readonly responder: RelayResponder;
}

/** See the module comment. */
export class ReadSink {
  readonly #options: ReadSinkOptions;

  constructor(options: ReadSinkOptions) {
    this.#options = options;
  }

  /** Takes over what a call has brought. */
  apply(result: ReadResult, call: EndedCall | undefined): void {
    const { read, confirmedAt, isReading, arrival } = result;
    const { age, lateness } = this.#options;
    if (isReading) {
      lateness.progressed();
    }
    if (confirmedAt !== undefined) {
      this.#confirm(confirmedAt);
    }
    this.#use(result, call);
    if (arrival !== undefined) {
      lateness.told(arrival);
    }
    age.read(read);
  }

  #confirm(at: number): void {
    const { age, contact, lateness } = this.#options;
    lateness.confirmed({ wasLost: contact.isLost });
    age.confirmed(at);
    contact.regained();
  }

  #use(
    { read, isWhole, verdict }: ReadResult,
    call: EndedCall | undefined,
  ): void {
    const { rows, contact, lateness, responder } = this.#options;
    if (verdict === "new-history") {
      lateness.historyChanged();
      contact.storeRestored();
    }
    rows.apply(read, { isWhole, verdict });
    responder.wake();
    if (isWhole || read.rows.length > 0) {
      lateness.arrived(call);
      rows.publish();
    }
  }
}
