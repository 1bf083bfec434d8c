/**
 * Reads one subject from a source beside the one in use.
 *
 * @module
 */

import type { ChangeSources } from "./change_sources.ts";
import type { OpenCall, OpenCalls } from "./open_calls.ts";
import { HistoryGoneError, type Member } from "./ports.ts";
import type { ReadResult, ReadSink } from "./read_sink.ts";
import type { RelayReader } from "./relay_reader.ts";
import type { Source } from "./second_source.ts";
import type { StoreContact } from "./store_contact.ts";
import type { StoreReader } from "./store_reader.ts";

/** How long the store may wait for changes: there are some, or a confirmation is due. */
const STORE_WAIT_MS = 20;

/** Options of a {@link BesideReader}. */
export interface BesideReaderOptions {
  readonly sources: ChangeSources;
  readonly contact: StoreContact;
  readonly calls: OpenCalls;
  readonly storeReader: StoreReader;
  readonly relayReader: RelayReader;
  readonly sink: ReadSink;
}

/** See the module comment. */
export class BesideReader {
  readonly #options: BesideReaderOptions;

  constructor(options: BesideReaderOptions) {
    this.#options = options;
  }

  /** What may be read beside the source in use, best first; `used` is undefined for the store. */
  sources(now: number, used: Member | undefined): readonly Source[] {
    const { sources, contact: { isLost } } = this.#options;
    const vms = sources.beside(now, { used, isLost })
      .map((relay) => ({ kind: "relay", relay }) as const);
    // The store is down if it has been lost by so many that no further one is replaced.
    return used === undefined || !sources.mayReplaceLost(now)
      ? vms
      : [...vms, { kind: "store" }];
  }

  /** Reads a source and applies what it gives. */
  async read(source: Source, signal: AbortSignal): Promise<void> {
    const { calls, relayReader, sink } = this.#options;
    const relay = source.kind === "relay" ? source.relay : undefined;
    await calls.make(relay, async (call) => {
      const result = relay === undefined
        ? await this.#readStore(call, signal)
        : await relayReader.read(relay, {
          call,
          isSecond: true,
          isTold: true,
          signals: { signal, cancelSignal: signal },
        });
      if (result !== undefined) {
        sink.apply(result, call.ended);
      }
    });
  }

  async #readStore(call: OpenCall, signal: AbortSignal): Promise<ReadResult> {
    const { storeReader } = this.#options;
    const options = { call, signal, cancelSignal: signal };
    try {
      return await storeReader.changes(STORE_WAIT_MS, options);
    } catch (err) {
      if (err instanceof HistoryGoneError) {
        return await storeReader.all(options);
      }
      throw err;
    }
  }
}
