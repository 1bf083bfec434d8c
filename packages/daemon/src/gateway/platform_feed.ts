/**
 * Follows every subject of the platform's store, decodes its rows for the gateway and
 * serves its changes to peers.
 *
 * @module
 */

import { messageOf } from "../errors.ts";
import type { ExchangeEnd } from "../json_exchange.ts";
import { pause } from "../pause.ts";
import type { EventLog } from "./events.ts";
import type { ChangeSourcesOptions } from "./change_sources.ts";
import {
  type Member,
  type PlatformEvent,
  type PlatformPort,
  type StoredRow,
  WATCHED_SUBJECTS,
  type WatchedSubject,
} from "./ports.ts";
import type { StoreVersion } from "./row_copy.ts";
import { RelayClient, type RelayRequest, type RelayResponse } from "./relay.ts";
import type { EndedCall } from "./subject_listener.ts";
import { SubjectWatch } from "./subject_watch.ts";

/** Pause before another attempt to write the VM's row. */
const REGISTER_RETRY_MS = 400;

/** Mean time between the writes of two VMs whose rows the store has lost. */
const REGISTER_INTERVAL_MS = 10;

/** Keys that one log line names. */
const MAX_LOGGED_KEYS = 10;

/** A change of the platform, or of the connectivity to it. */
export type FeedEvent =
  | PlatformEvent
  /** Neither the store nor a relay responds for the subject (`isLost`), or one does again. */
  | {
    readonly kind: "contact";
    readonly subject: WatchedSubject;
    readonly isLost: boolean;
    readonly reason?: string;
  };

/** The newest versions that a VM has seen. */
export interface SeenVersions {
  /** The history of the store that was read last; see {@link StoreVersion}. */
  readonly era: number;
  /** The newest version of each subject in that history; 0 if none is known. */
  readonly seen: Readonly<Record<WatchedSubject, number>>;
}

/** Where changes are read. */
export type ChangeSource = "store" | "relay";

/** Options of a {@link PlatformFeed}. */
export interface PlatformFeedOptions extends ChangeSourcesOptions {
  readonly platform: PlatformPort;
  readonly log: EventLog;
  listener(event: FeedEvent): void;
  /** A call to a source of changes has ended. */
  callEnded(end: ExchangeEnd, source: ChangeSource): void;
}

/** See the module's comment. */
export class PlatformFeed {
  readonly #options: PlatformFeedOptions;
  readonly #client: RelayClient;
  readonly #watches: ReadonlyMap<WatchedSubject, SubjectWatch>;
  readonly #closed = new AbortController();
  /** Events that the listener could not handle: some are not decoded again. */
  readonly #unhandled = new Map<WatchedSubject, readonly PlatformEvent[]>();
  /** Undefined until {@link start}. */
  #self: Member | undefined;

  constructor(options: PlatformFeedOptions) {
    this.#options = options;
    this.#client = new RelayClient(({ vm }) =>
      options.log.write("connections silent", { peer: vm })
    );
    this.#watches = new Map(
      WATCHED_SUBJECTS.map((subject) => [subject, this.#watch(subject)]),
    );
  }

  /** Follows all subjects until {@link close}, and registers `self`. */
  start(self: Member): void {
    this.#watches.forEach((watch) => void watch.run());
    this.#self = self;
    void this.#register(self);
  }

  /** A peer reports a version that this VM may have missed. */
  hint(subject: WatchedSubject, seen: StoreVersion): void {
    this.#watches.get(subject)?.hint(seen);
  }

  /** The history of the store that this VM read last, and the newest version of each subject in it. */
  get seen(): SeenVersions {
    const newest = WATCHED_SUBJECTS.map((subject) =>
      [subject, this.#watches.get(subject)!.newest] as const
    );
    const lastRead = WATCHED_SUBJECTS.toSorted((a, b) =>
      this.readAgeOf(a) - this.readAgeOf(b)
    )[0]!;
    const { era } = this.#watches.get(lastRead)!.newest;
    const versions = newest.map(([subject, seen]) => [
      subject,
      seen.era === era ? seen.version : 0,
    ]);
    return { era, seen: Object.fromEntries(versions) };
  }

  /** The history of a subject's rows, and their newest version in it. */
  seenOf(subject: WatchedSubject): StoreVersion {
    return this.#watches.get(subject)!.newest;
  }

  /** How many times a subject's rows were replaced by those of a restored store. */
  restoresOf(subject: WatchedSubject): number {
    return this.#watches.get(subject)!.restores;
  }

  /** Time since the store last confirmed the rows of a subject, in milliseconds. */
  ageOf(subject: WatchedSubject): number {
    return Math.round(this.#watches.get(subject)!.ageMs);
  }

  /**
   * Time since the start of the read that gave the rows of a subject, in milliseconds.
   * Every change that the platform accepted before that is included.
   */
  readAgeOf(subject: WatchedSubject): number {
    return this.#watches.get(subject)!.readAgeMs;
  }

  /** Response to a peer's request for changes; undefined if nothing was read yet. */
  changesAfter(
    subject: WatchedSubject,
    request: RelayRequest,
  ): Promise<RelayResponse | undefined> {
    return this.#watches.get(subject)!.changesAfter(request);
  }

  /** Delivers again what could not be handled, without waiting for the next try. */
  deliverAgain(): void {
    for (const subject of this.#unhandled.keys()) {
      try {
        this.#deliver(subject, []);
      } catch {
        // It was logged when it was delivered first, and is delivered again with the rows.
      }
    }
  }

  close(): void {
    this.#closed.abort();
    this.#client.close();
    this.#options.platform.close();
    this.#watches.forEach((watch) => watch.close());
  }

  #watch(subject: WatchedSubject): SubjectWatch {
    const { platform, log, relays, fallbacks, listener } = this.#options;
    return new SubjectWatch(subject, {
      store: platform,
      relays,
      fallbacks,
      queryRelay: (relay, request) =>
        this.#client.requestChanges(relay, subject, request),
      listener: {
        restored: (rows, { held, ...change }) => {
          log.write("store history adopted", { subject, ...change });
          this.#logHeld(subject, held);
          this.#onRestored(subject, rows);
        },
        rowsChanged: (rows) =>
          this.#deliver(subject, platform.decode(subject, rows)),
        rowsNotApplied: (reason) =>
          log.write("rows not applied", { subject, reason }),
        connectivityChanged: (isLost, reason) =>
          listener({
            kind: "contact",
            subject,
            isLost,
            ...(reason === undefined ? {} : { reason }),
          }),
        responseNotUsed: (era) =>
          log.write("store response not used", { subject, era }),
        claimRefuted: (claimed, era) =>
          log.write("store history refuted", { subject, claimed, era }),
        relayUnresponsive: (relay) =>
          this.#watches.forEach((watch) => watch.leaveRelay(relay)),
        callEnded: (call) => this.#onCallEnded(subject, call),
        readLate: ({ behindMs, unconfirmedMs, call }) =>
          log.write("change read late", {
            subject,
            storeVersion: this.seenOf(subject).version,
            forMs: Math.round(behindMs),
            unconfirmedMs: Math.round(unconfirmedMs),
            ...(call === undefined ? {} : callFields(call)),
          }),
        sourceSlow: ({ used, asked }) =>
          log.write("second source asked", {
            subject,
            unconfirmedMs: this.ageOf(subject),
            ...(asked === undefined ? {} : { peer: asked.vm }),
            ...(used === undefined ? {} : { slowPeer: used.vm }),
          }),
        relaySkipped: (relay, reason) =>
          log.write("relay left alone", { subject, peer: relay.vm, reason }),
      },
    });
  }

  #onCallEnded(subject: WatchedSubject, { end, relay }: EndedCall): void {
    const { log, callEnded } = this.#options;
    if (this.#closed.signal.aborted) {
      return;
    }
    callEnded(end, relay === undefined ? "store" : "relay");
    if (end.kind !== "read") {
      log.write("call given up", {
        subject,
        forMs: Math.round(end.waitedMs),
        bytes: end.bytes,
        arrivingMs: Math.round(end.arrivingMs),
        reason: end.reason,
        ...(relay === undefined ? {} : { peer: relay.vm }),
      });
    }
  }

  /** Each event is delivered, whatever becomes of the others; throws if one could not be handled. */
  #deliver(subject: WatchedSubject, events: readonly PlatformEvent[]): void {
    const kinds = new Set(events.map(({ kind }) => kind));
    const earlier = (this.#unhandled.get(subject) ?? [])
      .filter(({ kind }) => !kinds.has(kind));
    const unhandled: PlatformEvent[] = [];
    const reasons: string[] = [];
    for (const event of [...earlier, ...events]) {
      try {
        this.#options.listener(event);
      } catch (err) {
        unhandled.push(event);
        reasons.push(`${event.kind}: ${messageOf(err)}`);
      }
    }
    this.#unhandled.set(subject, unhandled);
    if (reasons.length > 0) {
      throw new Error(reasons.join("; "));
    }
  }

  #logHeld(subject: WatchedSubject, held: readonly string[]): void {
    if (held.length > 0) {
      this.#options.log.write("restored rows held", {
        subject,
        era: this.seenOf(subject).era,
        rows: held.length,
        keys: held.slice(0, MAX_LOGGED_KEYS).join(" "),
      });
    }
  }

  #onRestored(
    subject: WatchedSubject,
    rows: ReadonlyMap<string, StoredRow>,
  ): void {
    const self = this.#self;
    if (subject === "members" && self !== undefined && !rows.has(self.vm)) {
      void this.#registerAgain(self, rows.size);
    }
  }

  /** Writes the row that the store has lost, at a random time so that not all VMs write at once. */
  async #registerAgain(self: Member, members: number): Promise<void> {
    await pause(
      Math.random() * members * REGISTER_INTERVAL_MS,
      this.#closed.signal,
    );
    await this.#register(self);
  }

  async #register(self: Member): Promise<void> {
    const { signal } = this.#closed;
    while (!signal.aborted) {
      try {
        await this.#options.platform.register(self);
        return;
      } catch (err) {
        this.#options.log.write("own row not written", {
          reason: messageOf(err),
        });
      }
      await pause(REGISTER_RETRY_MS, signal);
    }
  }
}

function callFields({ end, relay }: EndedCall) {
  return {
    ...(relay === undefined ? {} : { peer: relay.vm }),
    bytes: end.bytes,
    callMs: Math.round(end.waitedMs),
    arrivingMs: Math.round(end.arrivingMs),
  };
}
