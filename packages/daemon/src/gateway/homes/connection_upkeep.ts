/**
 * Keeps a connection open to each distant target that is a home of objects in use.
 *
 * A VM of a large fleet meets each such target more seldom than its idle timeout, so
 * that nearly every request would first establish a connection. Between regions that
 * takes another round trip, which is more than the objective of short requests leaves.
 *
 * @module
 */

import type { TargetId } from "@poplarthread/ids";
import type { ConnectionTarget } from "../connection.ts";

/** Interval at which {@link ConnectionUpkeep.tick} must be called. */
export const UPKEEP_TICK_MS = 200;
/** Interval at which the homes are read again. */
const HOMES_INTERVAL_MS = 1_000;
/** Idle time after which a connection is used: below the idle timeout of connections. */
const MAX_IDLE_MS = 5_000;
/** Time until a refresh that got no response is repeated. */
const REFRESH_TIMEOUT_MS = 2_000;
/** Refreshes per tick, so that a start or a change of homes does not delay requests. */
const MAX_REFRESHES_PER_TICK = 4;

/** Dependencies of {@link ConnectionUpkeep}. */
export interface ConnectionUpkeepOptions {
  /** Hashes of the targets that are homes of objects in use. */
  homes(): Iterable<number>;
  /** The target with this hash; undefined if no connection to it should be kept. */
  targetOf(hash: number): ConnectionTarget | undefined;
  /** How long the target's latest connection has been idle; undefined if none is open. */
  idleMs(target: TargetId, now: number): number | undefined;
  /** Sends something on an idle connection, or on a new one if there is none. */
  refresh(target: ConnectionTarget): void;
}

/** See the module comment. Times are milliseconds of the monotonic clock. */
export class ConnectionUpkeep {
  readonly #options: ConnectionUpkeepOptions;
  readonly #refreshedAt = new Map<TargetId, number>();
  #targets: readonly ConnectionTarget[] = [];
  #homesDueAt = -Infinity;
  #next = 0;

  constructor(options: ConnectionUpkeepOptions) {
    this.#options = options;
  }

  /** Number of targets to which a connection is kept. */
  get size(): number {
    return this.#targets.length;
  }

  /** Refreshes connections that are due. */
  tick(now: number): void {
    if (now >= this.#homesDueAt) {
      this.#homesDueAt = now + HOMES_INTERVAL_MS;
      this.#readHomes();
    }
    let refreshes = 0;
    for (let checked = 0; checked < this.#targets.length; checked++) {
      if (refreshes >= MAX_REFRESHES_PER_TICK) {
        return;
      }
      const target = this.#targets[this.#next % this.#targets.length]!;
      this.#next += 1;
      if (this.#isDue(target, now)) {
        this.#refreshedAt.set(target.id, now);
        this.#options.refresh(target);
        refreshes += 1;
      }
    }
  }

  #isDue({ id }: ConnectionTarget, now: number): boolean {
    const refreshedAt = this.#refreshedAt.get(id) ?? -Infinity;
    if (now - refreshedAt < REFRESH_TIMEOUT_MS) {
      return false;
    }
    const idleMs = this.#options.idleMs(id, now);
    return idleMs === undefined || idleMs >= MAX_IDLE_MS;
  }

  #readHomes(): void {
    const { homes, targetOf } = this.#options;
    this.#targets = [...homes()].flatMap((hash) => targetOf(hash) ?? []);
    const kept = new Set(this.#targets.map(({ id }) => id));
    for (const id of this.#refreshedAt.keys()) {
      if (!kept.has(id)) {
        this.#refreshedAt.delete(id);
      }
    }
  }
}
