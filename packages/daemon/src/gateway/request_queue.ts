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

/** See the module's comment. */
export class RequestQueue {
  readonly #rooms = new Map<ServiceId, WaitingRoom<Placeable>>();

  /** Requests that wait. */
  get size(): number {
    let size = 0;
    for (const room of this.#rooms.values()) {
      size += room.size;
    }
    return size;
  }

  /** Adds a request and places what can be placed. */
  add(one: Placeable, now: number): void {
    let room = this.#rooms.get(one.service);
    if (room === undefined) {
      room = new WaitingRoom();
      this.#rooms.set(one.service, room);
    }
    room.add(one);
    this.pump(one.service, now);
  }

  /** A request does not wait any more. */
  remove(one: Placeable): void {
    this.#rooms.get(one.service)?.remove(one);
  }

  /** Places what can be placed of a service, the most urgent first. */
  pump(service: ServiceId, now: number): void {
    const room = this.#rooms.get(service);
    if (room === undefined || room.size === 0) {
      return;
    }
    let ahead = 0;
    for (const one of room.inOrder(now)) {
      if (!one.tryPlace(now, ahead)) {
        room.remove(one);
      } else {
        ahead += 1;
      }
    }
  }

  /** Places what can be placed of all services. */
  pumpAll(now: number): void {
    for (const service of this.#rooms.keys()) {
      this.pump(service, now);
    }
  }
}
