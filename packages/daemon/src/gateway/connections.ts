/**
 * Pooled HTTP connections to targets, or to other VMs. Each connection has an undici client of its
 * own, so that it is always known which request uses which connection.
 *
 * @module
 */

import type { TargetId } from "@poplarthread/ids";
import {
  Connection,
  type ConnectionListener,
  type ConnectionTarget,
  type TargetConnection,
} from "./connection.ts";

/**
 * A request without a response for this long may have been sent on a silent connection:
 * many times what a target takes for short requests, and less than a health probe waits.
 */
const DOUBTFUL_AFTER_MS = 800;
/**
 * Most idle connections that stay in the pool when none of them can carry a request:
 * requests of one id, or without any, would leave one each.
 */
const MAX_PASSED_OVER = 2;
/** Provides connections for attempts. */
export interface ConnectionSource<Id extends string = TargetId> {
  /** Returns an idle connection that has not carried a request with this id, or a new one. */
  take(target: ConnectionTarget<Id>, requestId: string): TargetConnection<Id>;
  /** Returns a connection to the pool after a complete response. */
  release(connection: TargetConnection<Id>): void;
  /** Discards a connection whose request got no complete response. */
  drop(connection: TargetConnection<Id>): void;
  /** Closes the idle connections to a target that does not respond: they may be silent while new ones work. */
  closeIdle(target: Id): void;
  /** Closes the idle connections to all targets that have carried no response lately: so many targets do not respond that all connections may be silent. */
  closeDoubtful(): void;
  /** Removes a target that is gone, and closes its idle connections. */
  remove(target: Id): void;
}

/** The pool of connections, by target. */
export class Connections<Id extends string = TargetId>
  implements ConnectionSource<Id> {
  readonly #localAddress: string;
  readonly #listener: ConnectionListener<Id>;
  readonly #idle = new Map<Id, Connection<Id>[]>();
  readonly #open = new Map<Id, Set<Connection<Id>>>();

  constructor(
    options: { localAddress: string; listener: ConnectionListener<Id> },
  ) {
    this.#localAddress = options.localAddress;
    this.#listener = options.listener;
  }

  /**
   * Returns the most recently used idle connection that has not carried a request with
   * this id, or a new one. A request may be sent to a target again, and a late copy of the
   * response to its first attempt has the same id as the response to its second.
   */
  take(target: ConnectionTarget<Id>, requestId?: string): Connection<Id> {
    const connection = this.#takeIdle(target, requestId) ?? this.create(target);
    if (requestId !== undefined) {
      connection.markCarried(requestId);
    }
    return connection;
  }

  #takeIdle(
    target: ConnectionTarget<Id>,
    requestId: string | undefined,
  ): Connection<Id> | undefined {
    const idle = this.#idle.get(target.id) ?? [];
    const passedOver: Connection<Id>[] = [];
    for (let index = idle.length - 1; index >= 0; index--) {
      const candidate = idle[index]!;
      if (requestId !== undefined && candidate.hasCarried(requestId)) {
        passedOver.push(candidate);
        continue;
      }
      idle.splice(index, 1);
      if (candidate.isOpen && candidate.address === target.address) {
        candidate.idleSince = undefined;
        candidate.takenAt = performance.now();
        return candidate;
      }
      candidate.destroy();
    }
    passedOver.slice(MAX_PASSED_OVER).forEach((connection) => {
      connection.destroy();
      this.#closed(connection);
    });
    return undefined;
  }

  /** Creates a connection. */
  create(target: ConnectionTarget<Id>): Connection<Id> {
    const connection = new Connection(target, {
      localAddress: this.#localAddress,
      listener: this.#listener,
      onClosed: (closed) => this.#closed(closed),
    });
    const open = this.#open.get(target.id);
    if (open === undefined) {
      this.#open.set(target.id, new Set([connection]));
    } else {
      open.add(connection);
    }
    return connection;
  }

  /**
   * Returns a connection to the pool after a complete response. Data that a target
   * sends after the response belongs to no request and makes the client close the
   * connection. The connection is therefore reused only after an event-loop tick, when
   * such a close has been noticed.
   */
  release(connection: Connection<Id>): void {
    setImmediate(() => {
      if (!connection.isReusable || !this.#isTracked(connection)) {
        connection.destroy();
        return;
      }
      connection.idleSince = performance.now();
      const idle = this.#idle.get(connection.target);
      if (idle === undefined) {
        this.#idle.set(connection.target, [connection]);
      } else {
        idle.push(connection);
      }
    });
  }

  /**
   * How long the latest idle connection to the target has been idle, 0 while one
   * carries a request; undefined if none is open.
   */
  idleMs(id: Id, now: number): number | undefined {
    const idle = this.#idle.get(id)?.at(-1);
    if (idle?.idleSince !== undefined) {
      return now - idle.idleSince;
    }
    return (this.#open.get(id)?.size ?? 0) > 0 ? 0 : undefined;
  }

  /**
   * Discards a connection whose request got no complete response. Open connections may
   * fall silent all at once, so those that have carried no response since are not used
   * again either.
   */
  drop(connection: Connection<Id>): void {
    const { target, takenAt } = connection;
    connection.destroy();
    this.#closed(connection);
    if (performance.now() - takenAt > DOUBTFUL_AFTER_MS) {
      this.#closeIdleSince(target, takenAt);
    }
  }

  closeIdle(target: Id): void {
    this.#closeIdleSince(target, performance.now());
  }

  closeDoubtful(): void {
    const since = performance.now() - DOUBTFUL_AFTER_MS;
    [...this.#idle.keys()].forEach((id) => this.#closeIdleSince(id, since));
  }

  /** Removes a target that is gone: closes its idle connections now, and busy ones when they are returned. */
  remove(id: Id): void {
    for (const connection of this.#idle.get(id) ?? []) {
      connection.destroy();
    }
    this.#idle.delete(id);
    this.#open.delete(id);
  }

  close(): void {
    for (const set of this.#open.values()) {
      set.forEach((connection) => connection.destroy());
    }
    this.#open.clear();
    this.#idle.clear();
  }

  #isTracked(connection: Connection<Id>): boolean {
    return this.#open.get(connection.target)?.has(connection) ?? false;
  }

  /** Closes the connections that have been idle since `since` or longer. */
  #closeIdleSince(target: Id, since: number): void {
    [...this.#idle.get(target) ?? []]
      .filter(({ idleSince }) => idleSince! <= since)
      .forEach((connection) => {
        connection.destroy();
        this.#closed(connection);
      });
  }

  #closed(connection: Connection<Id>): void {
    this.#open.get(connection.target)?.delete(connection);
    const idle = this.#idle.get(connection.target);
    const index = idle?.indexOf(connection) ?? -1;
    if (index >= 0) {
      idle!.splice(index, 1);
    }
  }
}
