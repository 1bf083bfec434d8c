/**
 * The wait queues of this VM: requests that wait for capacity at a target, by service.
 *
 * @module
 */

import type { ServiceId } from "@poplarthread/ids";
import { type QueuedRequest, WaitQueue } from "@poplarthread/placement";

/** What a request waits for. */
export type WaitReason =
  | "capacity"
  /** The homes of its object are not known yet. */
  | "homes"
  /** An earlier response on its connection, while the VM stops. */
  | "earlier-response";

/** A request that can be placed. */
export interface Placeable extends QueuedRequest {
  readonly service: ServiceId;
  readonly waitsFor: WaitReason;
  /** Tries to place the request while `ahead` requests wait before it; returns true if it has to keep waiting. */
  tryPlace(now: number, ahead: number): boolean;
}

/** Requests of a kind that could not be placed after which the others of it are skipped. */
const MAX_FAILED_PLACEMENTS = 6;

/** Whether a waiting request takes capacity before those behind it. */
function usesCapacity({ waitsFor }: Placeable): boolean {
  return waitsFor !== "earlier-response";
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
    const ahead = queue.countAhead(request.priority, usesCapacity);
    if (request.tryPlace(now, ahead)) {
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
      if (request.waitsFor !== "homes" || request.tryPlace(now, ahead)) {
        ahead += 1;
      } else {
        queue.remove(request);
      }
    }
  }

  /**
   * Requests that wait for different things are limited separately: one kind does not say
   * whether another can be placed.
   */
  #placeWaiting(service: ServiceId, now: number, maxFailed: number): void {
    const queue = this.#queues.get(service);
    if (queue === undefined || queue.size === 0) {
      return;
    }
    const failed: Record<WaitReason, number> = {
      "capacity": 0,
      "homes": 0,
      "earlier-response": 0,
    };
    let ahead = 0;
    for (const request of queue.inOrder(now)) {
      const { waitsFor } = request;
      if (failed[waitsFor] < maxFailed) {
        if (request.tryPlace(now, ahead)) {
          failed[waitsFor] += 1;
        } else {
          queue.remove(request);
          continue;
        }
      }
      ahead += usesCapacity(request) ? 1 : 0;
      if (Math.min(failed.homes, failed.capacity) >= maxFailed) {
        return;
      }
    }
  }
}
