/**
 * Waiting requests of one class, served round robin by caller.
 *
 * Often a few callers send most of the requests. In a queue ordered by arrival,
 * a caller with half of all requests would determine everyone's wait, so
 * callers with single requests would wait for its whole backlog. Here each
 * request waits behind its caller's earlier requests and, for each of them and
 * itself, one request of each other caller.
 *
 * @module
 */

import type { CallerId } from "@poplarthread/ids";
import type { RequestState } from "./request_state.ts";

/** One caller's waiting requests, in order of arrival. */
export interface CallerQueue {
  readonly owner: FairQueue;
  readonly caller: CallerId;
  head: RequestState | undefined;
  tail: RequestState | undefined;
  size: number;
  previous: CallerQueue;
  next: CallerQueue;
}

/** Queues scanned when searching for the longest. A caller with much of the
 * load is found early: its queue returns to the front in each rotation. */
const MAX_SCANNED_QUEUES = 16;

/** Window of the shortest wait: about ten usual requests. */
const WINDOW_MS = 500;

/** Round-robin queue over callers. All operations are O(1). */
export class FairQueue {
  size = 0;
  #windowStart = 0;
  #shortestInWindowMs = 0;
  #shortestInLastWindowMs = 0;
  #callers = new Map<CallerId, CallerQueue>();
  #front: CallerQueue | undefined;

  /** Shortest wait in ms among requests served in the last and the current
   * window; 0 if the queue was empty at any time. A burst's wait reaches 0 once
   * it is served; that of a standing queue does not. */
  shortestWaitMs(now: number): number {
    this.#rollWindow(now);
    return Math.min(this.#shortestInLastWindowMs, this.#shortestInWindowMs);
  }

  /** Records that a request got its slot after this wait. */
  recordWait(waitedMs: number, now: number): void {
    this.#rollWindow(now);
    this.#shortestInWindowMs = Math.min(this.#shortestInWindowMs, waitedMs);
  }

  #rollWindow(now: number): void {
    if (now - this.#windowStart < WINDOW_MS) return;
    this.#shortestInLastWindowMs = this.#shortestInWindowMs;
    this.#shortestInWindowMs = Number.POSITIVE_INFINITY;
    this.#windowStart = now;
  }

  /** Number of callers with waiting requests. */
  get callers(): number {
    return this.#callers.size;
  }

  /** Number of waiting requests of a caller. */
  sizeOf(caller: CallerId): number {
    return this.#callers.get(caller)?.size ?? 0;
  }

  /** Appends a request to its caller's queue. */
  push(req: RequestState): void {
    const queue = this.#queueOf(req.caller);
    req.queue = queue;
    req.previous = queue.tail;
    req.next = undefined;
    if (queue.tail === undefined) queue.head = req;
    else queue.tail.next = req;
    queue.tail = req;
    queue.size++;
    this.size++;
  }

  /** Adds a request at the front of its caller's queue, and moves that caller
   * to the front: the request was already served once, and its attempt did not
   * succeed. */
  pushFront(req: RequestState): void {
    const queue = this.#queueOf(req.caller);
    req.queue = queue;
    req.previous = undefined;
    req.next = queue.head;
    if (queue.head === undefined) queue.tail = req;
    else queue.head.previous = req;
    queue.head = req;
    queue.size++;
    this.size++;
    this.#moveToFront(queue);
  }

  /** Removes a waiting request from any position. */
  remove(req: RequestState): void {
    const queue = req.queue;
    if (queue === undefined) return;
    if (req.previous === undefined) queue.head = req.next;
    else req.previous.next = req.next;
    if (req.next === undefined) queue.tail = req.previous;
    else req.next.previous = req.previous;
    req.queue = undefined;
    req.previous = undefined;
    req.next = undefined;
    queue.size--;
    this.size--;
    if (queue.size === 0) this.#drop(queue);
    if (this.size === 0) this.#shortestInWindowMs = 0;
  }

  /** The request to serve next. */
  peek(): RequestState | undefined {
    return this.#front?.head;
  }

  /** Moves on to the next caller. */
  rotate(): void {
    this.#front = this.#front?.next;
  }

  /** The longest queue among the first callers in rotation. */
  longest(): CallerQueue | undefined {
    let longest = this.#front;
    let queue = this.#front;
    for (let i = 0; i < MAX_SCANNED_QUEUES && queue !== undefined; i++) {
      if (queue.size > longest!.size) longest = queue;
      queue = queue.next;
      if (queue === this.#front) break;
    }
    return longest;
  }

  #queueOf(caller: CallerId): CallerQueue {
    const known = this.#callers.get(caller);
    if (known !== undefined) return known;
    const queue = {
      owner: this as FairQueue,
      caller,
      head: undefined,
      tail: undefined,
      size: 0,
    } as unknown as CallerQueue;
    this.#callers.set(caller, queue);
    this.#append(queue);
    return queue;
  }

  #append(queue: CallerQueue): void {
    const front = this.#front;
    if (front === undefined) {
      queue.previous = queue;
      queue.next = queue;
      this.#front = queue;
      return;
    }
    queue.previous = front.previous;
    queue.next = front;
    front.previous.next = queue;
    front.previous = queue;
  }

  #moveToFront(queue: CallerQueue): void {
    if (this.#front === queue) return;
    queue.previous.next = queue.next;
    queue.next.previous = queue.previous;
    this.#append(queue);
    this.#front = queue;
  }

  #drop(queue: CallerQueue): void {
    this.#callers.delete(queue.caller);
    if (queue.next === queue) {
      this.#front = undefined;
      return;
    }
    queue.previous.next = queue.next;
    queue.next.previous = queue.previous;
    if (this.#front === queue) this.#front = queue.next;
  }
}
