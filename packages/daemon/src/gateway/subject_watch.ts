/**
 * Follows one subject of the platform's store: reads the store itself, or gets its
 * changes from another VM of the region, a relay.
 *
 * @module
 */

import { pause } from "../pause.ts";
import { BesideReader } from "./beside_reader.ts";
import { CallPace } from "./call_pace.ts";
import { CallFailures } from "./call_failures.ts";
import { ChangeSources, type ChangeSourcesOptions } from "./change_sources.ts";
import { Lateness } from "./lateness.ts";
import { type OpenCall, OpenCalls } from "./open_calls.ts";
import {
  type Member,
  type PlatformPort,
  type WatchedSubject,
} from "./ports.ts";
import { type RelayRequest, type RelayResponse } from "./relay.ts";
import { ReadSink } from "./read_sink.ts";
import { RelayReader } from "./relay_reader.ts";
import { RelayResponder } from "./relay_responder.ts";
import type { StoreVersion } from "./row_copy.ts";
import { RowsAge } from "./rows_age.ts";
import { SecondSource, type Source } from "./second_source.ts";
import { StoreContact } from "./store_contact.ts";
import { SourceInUse } from "./source_in_use.ts";
import { StoreReader } from "./store_reader.ts";
import type { SubjectListener } from "./subject_listener.ts";
import { SubjectRows } from "./subject_rows.ts";
import {
  CHANGE_BATCH_MS,
  CHANGE_WAIT_MS,
  PENDING_READ_WAIT_MS,
} from "./subject_times.ts";

/** How long the first call waits after failed ones or after stale rows of a relay: short, to learn soon that the store responds. */
const RECONNECT_WAIT_MS = 20;
/** A call that still waits this long after a peer has reported a newer version is doubted: many times the store's usual response time of 4 ms. */
const MISSED_CHANGE_TIMEOUT_MS = 300;

/** Options of a {@link SubjectWatch}. */
export interface SubjectWatchOptions extends ChangeSourcesOptions {
  readonly store: Pick<PlatformPort, "list" | "changes" | "isOlder">;
  queryRelay(relay: Member, request: RelayRequest): Promise<RelayResponse>;
  readonly listener: SubjectListener;
}

/** See the module's comment. */
export class SubjectWatch {
  readonly #subject: WatchedSubject;
  readonly #listener: SubjectListener;
  readonly #rows: SubjectRows;
  readonly #age = new RowsAge();
  readonly #lateness: Lateness;
  readonly #sources: ChangeSources;
  readonly #contact: StoreContact;
  readonly #storeReader: StoreReader;
  readonly #relayReader: RelayReader;
  readonly #responder: RelayResponder;
  readonly #sink: ReadSink;
  readonly #calls: OpenCalls;
  readonly #secondSource: SecondSource;
  readonly #closed = new AbortController();
  readonly #besideReader: BesideReader;
  readonly #use = new SourceInUse();
  readonly #pace = new CallPace();
  readonly #failures: CallFailures;
  #missedChangeTimer: NodeJS.Timeout | undefined;

  constructor(subject: WatchedSubject, options: SubjectWatchOptions) {
    const { store, listener, queryRelay } = options;
    this.#subject = subject;
    this.#listener = listener;
    this.#rows = new SubjectRows(subject, {
      isOlder: (...rows) => store.isOlder(...rows),
      listener,
    });
    this.#sources = new ChangeSources(options);
    this.#contact = new StoreContact(listener);
    const shared = { rows: this.#rows, age: this.#age };
    this.#storeReader = new StoreReader(subject, {
      ...shared,
      store,
      responseNotUsed: (era) => listener.responseNotUsed(era),
    });
    this.#relayReader = new RelayReader(subject, {
      ...shared,
      sources: this.#sources,
      contact: this.#contact,
      listener,
      queryRelay,
    });
    this.#responder = new RelayResponder(subject, {
      ...shared,
      state: (now) => ({
        isLost: this.#contact.isLost,
        isArriving: this.#calls.isArriving,
        arrival: this.#calls.longArrival,
        isSecondHand: this.#sources.isRelayed(now),
        storeCalledAt: this.#use.relay === undefined
          ? this.#contact.calledAt
          : undefined,
        restoredAt: this.#contact.restoredAt,
      }),
    });
    this.#lateness = new Lateness(subject, { ...shared, listener });
    this.#sink = new ReadSink({
      ...shared,
      contact: this.#contact,
      lateness: this.#lateness,
      responder: this.#responder,
    });
    this.#calls = new OpenCalls({
      arrivingLong: () => {
        this.#responder.wake();
        this.#secondSource.update();
      },
      ended: (call) => listener.callEnded(call),
    });
    this.#besideReader = new BesideReader({
      sources: this.#sources,
      contact: this.#contact,
      calls: this.#calls,
      storeReader: this.#storeReader,
      relayReader: this.#relayReader,
      sink: this.#sink,
    });
    this.#failures = new CallFailures(subject, {
      rows: this.#rows,
      sources: this.#sources,
      contact: this.#contact,
      lateness: this.#lateness,
      responder: this.#responder,
      use: this.#use,
      listener,
      closed: this.#closed.signal,
    });
    this.#secondSource = new SecondSource({
      slowAt: () => this.#slowAt(),
      sources: (now) => this.#besideReader.sources(now, this.#use.relay),
      read: (source, signal) => this.#readBeside(source, signal),
    });
  }

  /** Version of the newest row seen, in the history that the rows belong to; era 0 if none were read. */
  get newest(): StoreVersion {
    return this.#rows.newest;
  }

  /** How many times the rows were replaced by those of a restored store. */
  get restores(): number {
    return this.#rows.restores;
  }

  /** Time since the store last confirmed that no change is missing. */
  get ageMs(): number {
    return this.#age.unconfirmedMs;
  }

  /**
   * Time since the start of the read of the store that gave the rows: every change
   * accepted before that is included. Time at relays and suspensions of this VM count.
   */
  get readAgeMs(): number {
    return this.#age.readAgeMs;
  }

  /** Follows the subject until {@link close}. */
  async run(): Promise<void> {
    while (!this.#closed.signal.aborted) {
      const waitMs = this.#pace.next(performance.now());
      if (waitMs > 0) {
        await pause(waitMs, this.#closed.signal);
      }
      try {
        await this.#fetch();
      } catch (err) {
        await this.#failures.handle(err);
      }
      this.#use.ended();
    }
  }

  /** A peer reports the newest row that it has seen. */
  hint(seen: StoreVersion): void {
    const isClaim = this.#rows.history.claim(seen.era, this.#age.steadyNow);
    const isBehind = this.#lateness.isBehind(seen);
    if (isBehind) {
      this.#lateness.missed(seen);
      this.#secondSource.update();
    }
    if ((!isClaim && !isBehind) || this.#missedChangeTimer !== undefined) {
      return;
    }
    this.#missedChangeTimer = setTimeout(() => {
      this.#missedChangeTimer = undefined;
      if (this.#lateness.isBehind(seen)) {
        this.#doubtCall();
      } else if (this.#rows.history.isReadDue) {
        this.#use.endStoreWait();
      }
    }, MISSED_CHANGE_TIMEOUT_MS);
  }

  /** Peers know a newer version than the call in use has brought. */
  #doubtCall(): void {
    const { call } = this.#use;
    if (call !== undefined) {
      this.#use.doubt(this.#lateness.nextStep(call));
    }
  }

  /** Gives up a request that is pending at a VM, which has not responded to others. */
  leaveRelay({ vm }: Member): void {
    this.#use.leave(vm);
  }

  /** See {@link RelayResponder.changesAfter}. */
  changesAfter(request: RelayRequest): Promise<RelayResponse | undefined> {
    if (this.#rows.history.claim(request.era, this.#age.steadyNow)) {
      this.#use.endStoreWait();
    }
    return this.#responder.changesAfter(request);
  }

  close(): void {
    clearTimeout(this.#missedChangeTimer);
    this.#rows.close();
    this.#secondSource.close();
    this.#closed.abort();
    this.#use.abort();
    this.#responder.close();
  }

  async #fetch(): Promise<void> {
    const now = performance.now();
    const { hasRelays } = this.#sources;
    const relay = this.#contact.isRetryDue(now, { hasRelays })
      ? undefined
      : this.#sources.next(now, {
        isLost: this.#contact.isLost,
        isFirst: this.#rows.position === undefined,
      });
    if (relay !== undefined) {
      this.#contact.queriedOther();
      await this.#queryRelay(relay);
      return;
    }
    const { storeRead } = this.#secondSource;
    if (storeRead !== undefined) {
      // Reads of the store are judged one after the other.
      await storeRead;
      return;
    }
    this.#contact.called(now);
    await this.#readStore();
  }

  async #queryRelay(relay: Member): Promise<void> {
    const { signals } = this.#use;
    await this.#calls.make(relay, async (call) => {
      this.#begin(call);
      const { isTold } = this.#lateness;
      const response = await this.#relayReader
        .read(relay, { call, isTold, signals });
      this.#failures.relayResponded();
      if (response !== undefined) {
        this.#sink.apply(response, call.ended);
      }
    });
    this.#secondSource.update();
  }

  async #readStore(): Promise<void> {
    const { signal, cancelSignal } = this.#use.signals;
    const isFirst = this.#rows.position === undefined;
    const { read } = await this.#calls.make(undefined, async (call) => {
      this.#begin(call);
      const options = { call, signal, cancelSignal };
      const read = isFirst
        ? await this.#storeReader.all(options)
        : await this.#storeReader.changes(this.#storeWaitMs, options);
      this.#sink.apply(read, call.ended);
      return read;
    });
    this.#secondSource.update();
    if (!isFirst && read.rows.length > 0) {
      await pause(CHANGE_BATCH_MS, this.#closed.signal);
    }
  }

  /** The source in use is called. */
  #begin(call: OpenCall): void {
    this.#use.begun(call);
    this.#secondSource.update();
  }

  /**
   * How long a call waits for changes: until its rows become stale, or the VMs that use
   * this one as their relay would all call the store as well.
   */
  get #storeWaitMs(): number {
    if (this.#contact.isLost || this.#rows.history.isReadDue) {
      return RECONNECT_WAIT_MS;
    }
    const leftMs = this.#responder.staleAt - PENDING_READ_WAIT_MS -
      performance.now();
    const waitMs = Math.min(CHANGE_WAIT_MS[this.#subject], Math.floor(leftMs));
    return Math.max(RECONNECT_WAIT_MS, waitMs);
  }

  /** When the source in use counts as slow; infinite while nothing could take its place. */
  #slowAt(): number {
    if (this.#rows.position === undefined) {
      return Infinity;
    }
    return this.#use.isHopeless ? -Infinity : this.#slowSince(this.#use.call);
  }

  #slowSince(call: OpenCall | undefined): number {
    return this.#lateness.slowAt({ isLost: this.#contact.isLost, call });
  }

  /** Reads another source, and leaves the one in use if the other one was faster. */
  async #readBeside(source: Source, signal: AbortSignal): Promise<void> {
    const { call } = this.#use;
    this.#listener.sourceSlow({
      used: call?.relay,
      asked: source.kind === "relay" ? source.relay : undefined,
    });
    await this.#besideReader.read(source, signal);
    const isOvertaken = this.#slowSince(undefined) > performance.now();
    if (isOvertaken && this.#use.call === call) {
      this.#use.cancel();
    }
  }
}
