/**
 * Waiting requests of one class, served in turn caller by caller.
 *
 * Answers the load of few callers with most of the requests. With one queue in
 * order of arrival a caller that sends half of all requests sets everyone's
 * wait: callers with one request each would notice waits as long as the busy
 * caller's backlog. Here each caller waits behind its own requests, and behind
 * one of each other caller.
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

/** Queues looked at when the longest is wanted. A caller with much of the load
 * is met early: its queue comes back to the front each turn. */
const LONGEST_SCAN = 16;

/** Window over which the shortest wait is taken: about ten usual requests. */
const WINDOW_MS = 500;

/** Round robin over callers. All operations are O(1). */
export class FairQueue {
  size = 0;
  #windowStart = 0;
  #shortestNow = 0;
  #shortestBefore = 0;
  #callers = new Map<CallerId, CallerQueue>();
  #front: CallerQueue | undefined;

  /** Shortest wait of those served in the last window and in this one, in ms;
   * 0 if the queue was empty at any time. A burst passes through 0 when it is
   * worked off; a standing queue does not. */
  shortestWait(now: number): number {
    this.#roll(now);
    return Math.min(this.#shortestBefore, this.#shortestNow);
  }

  /** A request that waited this long got its slot. */
  served(waitedMs: number, now: number): void {
    this.#roll(now);
    this.#shortestNow = Math.min(this.#shortestNow, waitedMs);
  }

  #roll(now: number): void {
    if (now - this.#windowStart < WINDOW_MS) return;
    this.#shortestBefore = this.#shortestNow;
    this.#shortestNow = Number.POSITIVE_INFINITY;
    this.#windowStart = now;
  }

  /** Callers that wait. */
  get callers(): number {
    return this.#callers.size;
  }

  /** Requests of a caller that wait. */
  sizeOf(caller: CallerId): number {
    return this.#callers.get(caller)?.size ?? 0;
  }

  /** Adds a request behind its caller's others. */
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

  /** Adds a request before its caller's others, and its caller before other
   * callers: it had its turn already, and its attempt did not run. */
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

  /** Takes a waiting request out, from wherever it stands. */
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
    if (this.size === 0) this.#shortestNow = 0;
  }

  /** Whose turn it is. */
  peek(): RequestState | undefined {
    return this.#front?.head;
  }

  /** Passes the turn to the next caller. */
  rotate(): void {
    this.#front = this.#front?.next;
  }

  /** The newest request of the caller with the most, and how many it has. */
  longest(): CallerQueue | undefined {
    let longest = this.#front;
    let queue = this.#front;
    for (let i = 0; i < LONGEST_SCAN && queue !== undefined; i++) {
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
