/**
 * Requests that wait on this VM for room at a target, by service.
 *
 * @module
 */

import type { ServiceId } from "@poplarthread/ids";
import { type Waiting, WaitingRoom } from "@poplarthread/placement";

/** A request that can be placed. */
export interface Placeable extends Waiting {
  readonly service: ServiceId;
  /** Tries to place it while `ahead` requests wait before it; true if it waits on. */
  tryPlace(now: number, ahead: number): boolean;
}

/** Waiting requests that find no room before the others are not asked any more. */
const STOP_AFTER = 6;

/** See the module's comment. */
export class RequestQueue {
  readonly #rooms = new Map<ServiceId, WaitingRoom<Placeable>>();
  readonly #onWait: () => void;

  /** `onWait` is called for each request that begins to wait. */
  constructor(onWait: () => void = () => undefined) {
    this.#onWait = onWait;
  }

  /** Requests that wait. */
  get size(): number {
    let size = 0;
    for (const room of this.#rooms.values()) {
      size += room.size;
    }
    return size;
  }

  /** Places a request, or lets it wait. */
  add(one: Placeable, now: number): void {
    let room = this.#rooms.get(one.service);
    if (room === undefined) {
      room = new WaitingRoom();
      this.#rooms.set(one.service, room);
    }
    if (one.tryPlace(now, room.ahead(one.priority))) {
      room.add(one);
      this.#onWait();
    }
  }

  /** A request does not wait any more. */
  remove(one: Placeable): void {
    this.#rooms.get(one.service)?.remove(one);
  }

  /**
   * Places what can be placed of a service, the most urgent first. Stops when
   * several in a row have found no room: asking all of them at the end of each
   * request would cost a VM its whole processor share at the very moment at which
   * it has the most to do.
   */
  pump(service: ServiceId, now: number): void {
    this.#pump(service, now, STOP_AFTER);
  }

  /** Places what can be placed of all services. */
  pumpAll(now: number): void {
    for (const service of this.#rooms.keys()) {
      this.#pump(service, now, STOP_AFTER);
    }
  }

  /** Asks all that wait, so that those which have waited too long are refused. */
  review(now: number): void {
    for (const service of this.#rooms.keys()) {
      this.#pump(service, now, Infinity);
    }
  }

  #pump(service: ServiceId, now: number, stopAfter: number): void {
    const room = this.#rooms.get(service);
    if (room === undefined || room.size === 0) {
      return;
    }
    let ahead = 0;
    for (const one of room.inOrder(now)) {
      if (one.tryPlace(now, ahead)) {
        ahead += 1;
      } else {
        room.remove(one);
      }
      if (ahead >= stopAfter) {
        return;
      }
    }
  }
}
