/**
 * Responses leave a connection in the order of its requests, so that one that is ready
 * waits for those before it. A planned stop must not lose it with them.
 *
 * @module
 */

/** A request with its place on a connection. */
export interface OrderedRequest {
  /** Whether its final response is ready. */
  readonly isReady: boolean;
  /** Whether a part of its response has been written, so that no other one may follow. */
  readonly isStreaming: boolean;
  /** Whether its final response may not be ready at `time`. */
  mayLastUntil(time: number): boolean;
  /** Gives it up, as the planned stop would cut it. */
  giveUpForStop(): void;
}

/** Whether a request of `open` that comes before `request` may last beyond `time`. */
export function isBehindUntil(
  time: number,
  request: OrderedRequest,
  open: ReadonlySet<OrderedRequest>,
): boolean {
  for (const earlier of open) {
    if (earlier === request) {
      return false;
    }
    if (earlier.mayLastUntil(time)) {
      return true;
    }
  }
  return false;
}

/** Gives up the requests of a connection that hold back a response which is ready. */
export function releaseReady(open: ReadonlySet<OrderedRequest>): void {
  const inOrder = [...open];
  const lastReady = inOrder.findLastIndex(({ isReady }) => isReady);
  const unready = inOrder.slice(0, Math.max(0, lastReady))
    .filter(({ isReady }) => !isReady);
  // What is behind a streamed response is lost with it.
  if (!unready.some(({ isStreaming }) => isStreaming)) {
    unready.forEach((earlier) => earlier.giveUpForStop());
  }
}
