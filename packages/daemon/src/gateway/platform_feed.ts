/**
 * The platform's store as the gateway hears it: every subject followed, decoded,
 * and passed on to peers that ask.
 *
 * @module
 */

import { messageOf } from "../errors.ts";
import { pause } from "../pause.ts";
import type { EventLog } from "./events.ts";
import type { NewsSourcesOptions } from "./news_sources.ts";
import {
  type Member,
  type PlatformEvent,
  type PlatformPort,
  WATCHED_SUBJECTS,
  type WatchedSubject,
} from "./ports.ts";
import { RelayClient, type RelayNews, type RelayQuestion } from "./relay.ts";
import { SubjectWatch } from "./subject_watch.ts";

/** Pause before a VM's row is written again, in milliseconds. */
const ANNOUNCE_RETRY_MS = 400;

/** News, and whether there can be any. */
export type FeedEvent =
  | PlatformEvent
  /** The subject can be followed, or not any more. */
  | {
    readonly kind: "contact";
    readonly subject: WatchedSubject;
    readonly isLost: boolean;
    readonly reason?: string;
  };

/** What the feed works with. */
export interface PlatformFeedOptions extends NewsSourcesOptions {
  readonly platform: PlatformPort;
  readonly log: EventLog;
  listener(event: FeedEvent): void;
}

/** See the module's comment. */
export class PlatformFeed {
  readonly #options: PlatformFeedOptions;
  readonly #client = new RelayClient();
  readonly #watches: ReadonlyMap<WatchedSubject, SubjectWatch>;
  readonly #closed = new AbortController();

  constructor(options: PlatformFeedOptions) {
    this.#options = options;
    this.#watches = new Map(
      WATCHED_SUBJECTS.map((subject) => [subject, this.#watch(subject)]),
    );
  }

  /** Follows everything until {@link close}, and makes `self` known. */
  start(self: Member): void {
    this.#watches.forEach((watch) => void watch.run());
    void this.#announce(self);
  }

  /** A peer has seen a change that this VM may have missed. */
  hint(subject: WatchedSubject, version: number): void {
    this.#watches.get(subject)?.hint(version);
  }

  /** The newest version of each subject that this VM has seen. */
  get seen(): Readonly<Record<WatchedSubject, number>> {
    const newest = (subject: WatchedSubject) =>
      this.#watches.get(subject)!.newest;
    return {
      operator: newest("operator"),
      targets: newest("targets"),
      members: newest("members"),
    };
  }

  /** Time since the platform confirmed what this VM knows of a subject, in milliseconds. */
  ageOf(subject: WatchedSubject): number {
    return Math.round(this.#watches.get(subject)!.ageMs);
  }

  /**
   * Time since the reading began that gave what this VM knows of a subject, in
   * milliseconds. Whatever the platform accepted before that is known.
   */
  readAgeOf(subject: WatchedSubject): number {
    return this.#watches.get(subject)!.readAgeMs;
  }

  /** News for a peer. */
  news(
    subject: WatchedSubject,
    question: RelayQuestion,
  ): Promise<RelayNews | undefined> {
    return this.#watches.get(subject)!.newsAfter(question);
  }

  close(): void {
    this.#closed.abort();
    this.#watches.forEach((watch) => watch.close());
    this.#client.close();
    this.#options.platform.close();
  }

  #watch(subject: WatchedSubject): SubjectWatch {
    const { platform, log, relays, fallbacks, listener } = this.#options;
    return new SubjectWatch(subject, {
      store: platform,
      relays,
      fallbacks,
      askRelay: (relay, question) => this.#client.ask(relay, subject, question),
      listener: {
        changed: (rows) => platform.decode(subject, rows).forEach(listener),
        contact: (isLost, reason) =>
          listener({
            kind: "contact",
            subject,
            isLost,
            ...(reason === undefined ? {} : { reason }),
          }),
        relayLeft: (relay, reason) =>
          log.write("relay left alone", { subject, peer: relay.vm, reason }),
      },
    });
  }

  async #announce(self: Member): Promise<void> {
    const { signal } = this.#closed;
    while (!signal.aborted) {
      try {
        await this.#options.platform.announce(self);
        return;
      } catch (err) {
        this.#options.log.write("own row not written", {
          reason: messageOf(err),
        });
      }
      await pause(ANNOUNCE_RETRY_MS, signal);
    }
  }
}
