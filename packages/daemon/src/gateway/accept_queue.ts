/**
 * How long connections have waited to be accepted.
 *
 * The event loop accepts one connection in each of its turns. While more arrive, or the
 * process gets no time, they wait in a queue of the kernel, which does not tell since
 * when. Two things bound the wait: a turn without a new connection shows that the queue
 * was empty, and a connection of this process to itself that it has been accepted.
 *
 * @module
 */

/** Interval of the connections to itself, while others wait longer than this. */
const PROBE_INTERVAL_MS = 100;

/** Bounds the wait of accepted connections. Times are milliseconds of the monotonic clock. */
export class AcceptQueue {
  /** All connections that arrived before have been accepted; undefined while none arrive. */
  #emptyAt: number | undefined;
  #acceptedInTurn = false;
  #probedAt = -Infinity;

  /** Whether {@link turnEnded} must be called for each turn. */
  get isWatched(): boolean {
    return this.#emptyAt !== undefined;
  }

  /** Records an accepted connection. */
  accepted(now: number): void {
    this.#emptyAt ??= now;
    this.#acceptedInTurn = true;
  }

  /** Records the end of a turn. */
  turnEnded(): void {
    if (!this.#acceptedInTurn) {
      this.#emptyAt = undefined;
    }
    this.#acceptedInTurn = false;
  }

  /** Whether to connect to itself now, to tell how long connections wait. */
  takeDueProbe(now: number): boolean {
    const isDue = this.maxWaitMs(now) > PROBE_INTERVAL_MS &&
      now - this.#probedAt >= PROBE_INTERVAL_MS;
    if (isDue) {
      this.#probedAt = now;
    }
    return isDue;
  }

  /** Records that a connection to itself was accepted, which was opened at `openedAt`. */
  probeAccepted(openedAt: number): void {
    if (this.#emptyAt !== undefined) {
      this.#emptyAt = Math.max(this.#emptyAt, openedAt);
    }
  }

  /** The longest that a connection accepted now can have waited, but for a suspension before the first one of a series. */
  maxWaitMs(now: number): number {
    return this.#emptyAt === undefined ? 0 : now - this.#emptyAt;
  }
}
