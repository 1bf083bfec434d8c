/**
 * Connections to targets: one pool for each, within this VM's share of the
 * connections that the target accepts.
 *
 * @module
 */

import { type Dispatcher, Pool } from "undici";
import type { TargetId } from "@poplarthread/ids";

/** Where a target is and how many connections this VM may keep to it. */
export interface PoolTarget {
  readonly id: TargetId;
  /** `host:port`. */
  readonly address: string;
  readonly connections: number;
}

/**
 * Longest time for a connection to come about, in milliseconds. A new one takes
 * about 1 ms beside the round trip of at most 110 ms; a second is lost only on
 * a target that is not there.
 */
const CONNECT_TIMEOUT_MS = 1_000;
/** An idle connection is dropped after this long, before targets commonly do (5 s). */
const KEEP_ALIVE_MS = 4_000;

interface Entry {
  readonly pool: Pool;
  readonly address: string;
  readonly connections: number;
}

/** The pools of all targets that are known. */
export class TargetPools {
  readonly #localAddress: string | undefined;
  readonly #entries = new Map<TargetId, Entry>();

  constructor(options: { localAddress: string }) {
    const { localAddress } = options;
    const any = localAddress === "0.0.0.0" || localAddress === "::";
    this.#localAddress = any ? undefined : localAddress;
  }

  /** Opens pools for new targets; those that are gone finish what they have. */
  setTargets(targets: readonly PoolTarget[]): void {
    const gone = new Set(this.#entries.keys());
    for (const target of targets) {
      gone.delete(target.id);
      const entry = this.#entries.get(target.id);
      if (
        entry?.address === target.address &&
        entry.connections === target.connections
      ) {
        continue;
      }
      this.#replace(target, entry);
    }
    for (const id of gone) {
      const entry = this.#entries.get(id)!;
      this.#entries.delete(id);
      entry.pool.close().catch(() => undefined);
    }
  }

  /** The pool of a target; undefined where the target is not known (any more). */
  get(id: TargetId): Dispatcher | undefined {
    return this.#entries.get(id)?.pool;
  }

  async close(): Promise<void> {
    const pools = [...this.#entries.values()].map(({ pool }) => pool);
    this.#entries.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  #replace(target: PoolTarget, before: Entry | undefined): void {
    const pool = new Pool(`http://${target.address}`, {
      connections: target.connections,
      pipelining: 1,
      connectTimeout: CONNECT_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_MS,
      // The exchange has its own deadline; a second set of timers would only cost.
      headersTimeout: 0,
      bodyTimeout: 0,
      ...(this.#localAddress === undefined
        ? {}
        : { localAddress: this.#localAddress }),
    });
    const { address, connections } = target;
    this.#entries.set(target.id, { pool, address, connections });
    before?.pool.close().catch(() => undefined);
  }
}
