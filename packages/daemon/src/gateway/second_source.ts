/**
 * Asks further sources of changes beside the one in use when that one takes long.
 *
 * A relay may send slowly, or read slowly itself, and still be alive. What bounds the
 * time until a change is in force is the sum of all waits, so the clock of this module
 * starts when a change may be missing, not with a call, and the last source to be asked
 * is the store.
 *
 * @module
 */

import type { VmId } from "@poplarthread/ids";
import type { Member } from "./ports.ts";

/** A source of changes that is asked beside the one in use. */
export type Source =
  | { readonly kind: "relay"; readonly relay: Member }
  | { readonly kind: "store" };

/** Time after which the next source is asked. */
const STEP_MS = 300;
/** Pause after all sources were asked in vain, before they are asked again. */
const ROUND_MS = 1_000;
/** A check that is later than this says that the VM lacks processor time, not that the source is slow. */
const LATE_CHECK_MS = 100;

/** Options of a {@link SecondSource}. */
export interface SecondSourceOptions {
  /** When the source in use counts as slow; infinite while it cannot be replaced. */
  slowAt(): number;
  /** What may be asked beside the source in use, best first. */
  sources(now: number): readonly Source[];
  /** Reads a source; resolves when what it gave has been applied. */
  read(source: Source, signal: AbortSignal): Promise<void>;
}

/** See the module comment. Times are milliseconds of the monotonic clock. */
export class SecondSource {
  readonly #options: SecondSourceOptions;
  readonly #asked = new Set<VmId | "store">();
  /** Ends the calls of the sources that were asked. */
  #calls = new AbortController();
  #openCalls = 0;
  #nextAt = -Infinity;
  #timer: NodeJS.Timeout | undefined;
  #dueAt = Infinity;
  #isClosed = false;
  #storeRead: Promise<void> | undefined;

  constructor(options: SecondSourceOptions) {
    this.#options = options;
  }

  /** Settles when the store is no longer being read; undefined if it isn't. */
  get storeRead(): Promise<void> | undefined {
    return this.#storeRead;
  }

  /** What {@link SecondSourceOptions.slowAt} depends on has changed. */
  update(): void {
    const now = performance.now();
    const slowAt = this.#options.slowAt();
    if (slowAt > now && this.#asked.size > 0) {
      this.#reset();
    }
    this.#schedule(Math.max(slowAt, this.#nextAt));
  }

  close(): void {
    this.#isClosed = true;
    clearTimeout(this.#timer);
    this.#calls.abort();
  }

  #reset(): void {
    this.#asked.clear();
    this.#nextAt = -Infinity;
    this.#calls.abort();
    this.#calls = new AbortController();
  }

  #schedule(at: number): void {
    if (this.#isClosed || at === this.#dueAt) {
      return;
    }
    clearTimeout(this.#timer);
    this.#dueAt = at;
    if (at < Infinity) {
      // What has arrived is read first.
      this.#timer = setTimeout(
        () => setImmediate(() => this.#check(at)),
        Math.max(0, at - performance.now()),
      );
    }
  }

  #check(dueAt: number): void {
    if (this.#isClosed || dueAt !== this.#dueAt) {
      return;
    }
    this.#dueAt = Infinity;
    const now = performance.now();
    if (this.#options.slowAt() > now) {
      this.update();
    } else if (now > dueAt + LATE_CHECK_MS && dueAt > this.#nextAt) {
      this.#nextAt = now + LATE_CHECK_MS;
      this.#schedule(this.#nextAt);
    } else {
      this.#askNext(now);
    }
  }

  #askNext(now: number): void {
    const source = this.#options.sources(now)
      .find((one) => !this.#asked.has(keyOf(one)));
    this.#nextAt = now + STEP_MS;
    if (source !== undefined) {
      this.#asked.add(keyOf(source));
      this.#begin(source);
    } else if (this.#openCalls === 0) {
      this.#asked.clear();
      this.#nextAt = now + ROUND_MS;
    }
    this.#schedule(this.#nextAt);
  }

  #begin(source: Source): void {
    const read = this.#ask(source);
    if (source.kind === "store") {
      this.#storeRead = read.finally(() => this.#storeRead = undefined);
    }
  }

  async #ask(source: Source): Promise<void> {
    this.#openCalls += 1;
    const { signal } = this.#calls;
    try {
      await this.#options.read(source, signal);
    } catch {
      // The call is logged; the next source is asked in its place.
      if (!signal.aborted) {
        this.#nextAt = performance.now();
      }
    }
    this.#openCalls -= 1;
    this.update();
  }
}

function keyOf(source: Source): VmId | "store" {
  return source.kind === "store" ? "store" : source.relay.vm;
}
