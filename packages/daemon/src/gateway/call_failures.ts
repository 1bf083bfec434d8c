/**
 * What follows from a call for changes that has failed, and the pause before the next one.
 *
 * @module
 */

import { messageOf } from "../errors.ts";
import { pause } from "../pause.ts";
import type { ChangeSources } from "./change_sources.ts";
import type { Lateness } from "./lateness.ts";
import type { OpenCall } from "./open_calls.ts";
import { HistoryGoneError, type Member, type WatchedSubject } from "./ports.ts";
import { StillReadingError } from "./relay.ts";
import { READING_MARGIN_MS, RELAY_EXTRA_WAIT_MS } from "./relay_reader.ts";
import type { RelayResponder } from "./relay_responder.ts";
import type { SourceInUse } from "./source_in_use.ts";
import type { StoreContact } from "./store_contact.ts";
import type { SubjectListener } from "./subject_listener.ts";
import type { SubjectRows } from "./subject_rows.ts";
import { CHANGE_BATCH_MS, CHANGE_WAIT_MS } from "./subject_times.ts";

/**
 * A VM that has lost the store calls it again this long before its rows become stale.
 * Once they are stale, the VMs that use it as their relay call the store. If the store
 * were back by then, they would read that entries have expired without knowing of the
 * outage, and remove targets that are alive.
 */
const RETRY_BEFORE_STALE_MS = 100;
/** Back-off from a relay that does not respond: until its heartbeats are missed, too. */
const UNRESPONSIVE_BACK_OFF_MS = 3_000;

/** Options of {@link CallFailures}. */
export interface CallFailuresOptions {
  readonly rows: SubjectRows;
  readonly sources: ChangeSources;
  readonly contact: StoreContact;
  readonly lateness: Lateness;
  readonly responder: RelayResponder;
  readonly use: SourceInUse;
  readonly listener: Pick<
    SubjectListener,
    "relaySkipped" | "relayUnresponsive"
  >;
  /** Aborted when the subject is no longer followed. */
  readonly closed: AbortSignal;
}

/** See the module comment. */
export class CallFailures {
  readonly #subject: WatchedSubject;
  readonly #options: CallFailuresOptions;
  /** Since when the relay has been reading all rows; undefined if it has responded since. */
  #stillReadingSince: number | undefined;

  constructor(subject: WatchedSubject, options: CallFailuresOptions) {
    this.#subject = subject;
    this.#options = options;
  }

  /** The relay in use has responded. */
  relayResponded(): void {
    this.#stillReadingSince = undefined;
  }

  /** The call of the source in use has failed; resolves when the next one may be made. */
  async handle(err: unknown): Promise<void> {
    const { use, closed } = this.#options;
    const { relay, call, signals } = use;
    if (closed.aborted) {
      return;
    }
    if (signals.cancelSignal.aborted) {
      this.#replaceSlow(call);
    } else if (relay !== undefined) {
      this.#relayFailed(relay, err);
    } else {
      await this.#storeFailed(err);
    }
  }

  /** The source in use was slower than another one. */
  #replaceSlow(call: OpenCall | undefined): void {
    if (call?.relay === undefined) {
      return;
    }
    const now = performance.now();
    this.#options.sources.slow(call.relay, now);
    this.#options.listener.relaySkipped(
      call.relay,
      "another source was faster",
    );
    const dueAt = call.startedAt + CHANGE_WAIT_MS[this.#subject] +
      RELAY_EXTRA_WAIT_MS;
    if (call.ended?.end.bytes === 0 && now > dueAt) {
      this.#options.listener.relayUnresponsive(call.relay);
    }
  }

  #relayFailed(relay: Member, err: unknown): void {
    if (err instanceof StillReadingError && this.#mayReadOn()) {
      if (err.arrival !== undefined) {
        this.#options.lateness.told(err.arrival);
      }
      return;
    }
    this.#stillReadingSince = undefined;
    this.#options.sources.backOff(
      relay,
      performance.now() + UNRESPONSIVE_BACK_OFF_MS,
    );
    this.#options.listener.relaySkipped(relay, messageOf(err));
    if (!this.#options.use.signals.signal.aborted) {
      this.#options.listener.relayUnresponsive(relay);
    }
  }

  async #storeFailed(err: unknown): Promise<void> {
    if (err instanceof HistoryGoneError) {
      this.#options.rows.requireFullRead();
      // The store answers, though without rows: it is to be read, in place of other VMs.
      this.#options.sources.storeAnswered();
      this.#options.contact.regained();
      // Without the pause, a store that keeps no history would be read in a busy loop.
      await pause(CHANGE_BATCH_MS, this.#options.closed);
      return;
    }
    if (this.#options.use.signals.signal.aborted) {
      // Aborted because a peer reported a newer version: called again at once.
      return;
    }
    this.#options.sources.storeFailed();
    if (this.#options.contact.failed(messageOf(err))) {
      this.#options.responder.wake();
    }
    const pauseMs = this.#capBeforeStale(this.#options.contact.nextRetryMs());
    await pause(pauseMs, this.#options.closed);
  }

  /** Whether the relay, which is reading all rows, may take longer. */
  #mayReadOn(): boolean {
    const now = performance.now();
    this.#stillReadingSince ??= now;
    this.#options.lateness.progressed();
    return now < this.#stillReadingSince + READING_MARGIN_MS;
  }

  /** The pause, shortened if needed so that it ends before this VM's rows become stale. */
  #capBeforeStale(ms: number): number {
    const leftMs = this.#options.responder.staleAt - RETRY_BEFORE_STALE_MS -
      performance.now();
    return leftMs > 0 ? Math.min(ms, leftMs) : ms;
  }
}
