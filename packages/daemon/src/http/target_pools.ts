/**
 * Connection pools, one per target, limited to this VM's share of the connections
 * that the target accepts.
 *
 * @module
 */

import { type Dispatcher, Pool } from "undici";
import type { TargetId } from "@poplarthread/ids";

/** A target's address and the number of connections this VM may open to it. */
export interface PoolTarget {
  readonly id: TargetId;
  /** `host:port`. */
  readonly address: string;
  readonly connections: number;
}

/**
 * Time-out for opening a connection. Opening takes about 1 ms plus a round trip of
 * at most 110 ms, so only an unreachable target costs the full second.
 */
const CONNECT_TIMEOUT_MS = 1_000;
/** Idle connections are closed before targets commonly close theirs (5 s). */
const KEEP_ALIVE_MS = 4_000;

interface PoolEntry {
  readonly pool: Pool;
  readonly address: string;
  readonly connections: number;
}

/** Connection pools of all known targets. */
export class TargetPools {
  readonly #localAddress: string | undefined;
  readonly #entries = new Map<TargetId, PoolEntry>();

  constructor(options: { localAddress: string }) {
    const { localAddress } = options;
    const isAnyAddress = localAddress === "0.0.0.0" || localAddress === "::";
    this.#localAddress = isAnyAddress ? undefined : localAddress;
  }

  /** Opens pools for new targets; pools of removed targets finish their requests and close. */
  setTargets(targets: readonly PoolTarget[]): void {
    const removedIds = new Set(this.#entries.keys());
    for (const target of targets) {
      removedIds.delete(target.id);
      const entry = this.#entries.get(target.id);
      if (
        entry?.address === target.address &&
        entry.connections === target.connections
      ) {
        continue;
      }
      this.#replace(target, entry);
    }
    for (const id of removedIds) {
      const entry = this.#entries.get(id)!;
      this.#entries.delete(id);
      entry.pool.close().catch(() => undefined);
    }
  }

  /** The pool of a target; undefined if the target is not known or was removed. */
  get(id: TargetId): Dispatcher | undefined {
    return this.#entries.get(id)?.pool;
  }

  async close(): Promise<void> {
    const pools = [...this.#entries.values()].map(({ pool }) => pool);
    this.#entries.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  #replace(target: PoolTarget, previous: PoolEntry | undefined): void {
    const pool = new Pool(`http://${target.address}`, {
      connections: target.connections,
      pipelining: 1,
      connectTimeout: CONNECT_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_MS,
      // The exchange has its own deadline, so timers of the pool would be redundant.
      headersTimeout: 0,
      bodyTimeout: 0,
      ...(this.#localAddress === undefined
        ? {}
        : { localAddress: this.#localAddress }),
    });
    const { address, connections } = target;
    this.#entries.set(target.id, { pool, address, connections });
    previous?.pool.close().catch(() => undefined);
  }
}
