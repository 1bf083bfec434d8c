/**
 * Takes over what was read of one subject, from whichever source.
 *
 * @module
 */

import type { Lateness } from "./lateness.ts";
import type { RelayedRows } from "./relay_reader.ts";
import type { RelayResponder } from "./relay_responder.ts";
import type { RowsAge } from "./rows_age.ts";
import type { StoreContact } from "./store_contact.ts";
import type { StoreRead } from "./store_reader.ts";
import type { EndedCall } from "./subject_listener.ts";
import type { SubjectRows } from "./subject_rows.ts";

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

  /** Takes over a read of the store. */
  applyStored(read: StoreRead, call: EndedCall | undefined): void {
    this.#confirm(performance.now() - arrivalMs(call));
    this.#apply(read, call);
    this.#options.age.read(read.read);
  }

  /** Takes over a response of a relay. */
  applyRelayed(response: RelayedRows, call: EndedCall | undefined): void {
    const { confirmedAt, isReading, arrival, read } = response;
    const { lateness } = this.#options;
    if (isReading) {
      lateness.progressed();
    }
    if (confirmedAt !== undefined) {
      this.#confirm(confirmedAt);
    }
    this.#apply(response, call);
    if (arrival !== undefined) {
      lateness.told(arrival);
    }
    this.#options.age.completeSince(read.startedAt);
  }

  #confirm(at: number): void {
    const { age, contact, lateness } = this.#options;
    lateness.confirmed({ wasLost: contact.isLost });
    age.confirmed(at);
    contact.regained();
  }

  #apply(
    { read, isWhole, verdict }: StoreRead,
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

/** A response is of the moment at which it began to arrive. */
function arrivalMs(call: EndedCall | undefined): number {
  return call?.end.arrivingMs ?? 0;
}
