/**
 * The wait queues of this VM: requests that wait for capacity at a target, by service.
 *
 * @module
 */

import type { ServiceId } from "@poplarthread/ids";
import { type QueuedRequest, WaitQueue } from "@poplarthread/placement";

/** A request that can be placed. */
export interface Placeable extends QueuedRequest {
  readonly service: ServiceId;
  /** Whether it waits because the homes of its object are not known yet. */
  readonly awaitsHomes: boolean;
  /** Tries to place the request while `ahead` requests wait before it; returns true if it has to keep waiting. */
  tryPlace(now: number, ahead: number): boolean;
}

/** Requests of a kind that could not be placed after which the others of it are skipped. */
const MAX_FAILED_PLACEMENTS = 6;

/** Requests of one pass that could not be placed, by what they wait for. */
interface FailedPlacements {
  forHomes: number;
  forCapacity: number;
}

/** The wait queues of one VM; see the module comment. */
export class RequestQueue {
  readonly #queues = new Map<ServiceId, WaitQueue<Placeable>>();
  readonly #onQueued: () => void;

  /** `onQueued` is called for each request that is queued. */
  constructor(onQueued: () => void = () => undefined) {
    this.#onQueued = onQueued;
  }

  /** Number of waiting requests. */
  get size(): number {
    let size = 0;
    for (const queue of this.#queues.values()) {
      size += queue.size;
    }
    return size;
  }

  /** Places a request, or queues it. */
  add(request: Placeable, now: number): void {
    let queue = this.#queues.get(request.service);
    if (queue === undefined) {
      queue = new WaitQueue();
      this.#queues.set(request.service, queue);
    }
    if (request.tryPlace(now, queue.countAhead(request.priority))) {
      queue.add(request);
      this.#onQueued();
    }
  }

  /** Removes a request from its queue. */
  remove(request: Placeable): void {
    this.#queues.get(request.service)?.remove(request);
  }

  /**
   * Places waiting requests of a service, the most urgent first. Stops when several
   * could not be placed: trying all of them at the end of each request would use up
   * the VM's processor share under peak load.
   */
  placeWaiting(service: ServiceId, now: number): void {
    this.#placeWaiting(service, now, MAX_FAILED_PLACEMENTS);
  }

  /** Places waiting requests of all services, as {@link placeWaiting} does for one. */
  placeAllWaiting(now: number): void {
    for (const service of this.#queues.keys()) {
      this.#placeWaiting(service, now, MAX_FAILED_PLACEMENTS);
    }
  }

  /** Tries to place every waiting request, so that those that waited too long are refused. */
  retryAll(now: number): void {
    for (const service of this.#queues.keys()) {
      this.#placeWaiting(service, now, Infinity);
    }
  }

  /**
   * Tries to place every request of a service that waits for homes. The pass for
   * waiting requests may end before it reaches them.
   */
  placeAwaitingHomes(service: ServiceId, now: number): void {
    const queue = this.#queues.get(service);
    if (queue === undefined || queue.size === 0) {
      return;
    }
    let ahead = 0;
    for (const request of queue.inOrder(now)) {
      if (!request.awaitsHomes || request.tryPlace(now, ahead)) {
        ahead += 1;
      } else {
        queue.remove(request);
      }
    }
  }

  /**
   * Requests that wait for homes and those that wait for capacity are limited
   * separately: neither kind says whether the other can be placed.
   */
  #placeWaiting(service: ServiceId, now: number, maxFailed: number): void {
    const queue = this.#queues.get(service);
    if (queue === undefined || queue.size === 0) {
      return;
    }
    const failed: FailedPlacements = { forHomes: 0, forCapacity: 0 };
    let ahead = 0;
    for (const request of queue.inOrder(now)) {
      const reason = request.awaitsHomes ? "forHomes" : "forCapacity";
      if (failed[reason] >= maxFailed) {
        ahead += 1;
      } else if (request.tryPlace(now, ahead)) {
        ahead += 1;
        failed[reason] += 1;
      } else {
        queue.remove(request);
      }
      if (Math.min(failed.forHomes, failed.forCapacity) >= maxFailed) {
        return;
      }
    }
  }
}
