/**
 * Homes by load on an emulated VM: the gateway's agent and message format, with an
 * emulated network between the VMs.
 *
 * @module
 */

import type { ServiceId, VmId } from "@poplarthread/ids";
import {
  decodeHomeMessage,
  encodeHomeMessage,
  type RequestPath,
} from "@poplarthread/daemon/emulation";
import {
  HOME_TICK_MS,
  HomeCoordinator,
  type HomeSource,
  type HomeTarget,
  type OwnerTerm,
  type TargetOwner,
} from "@poplarthread/placement";
import type { EventLoop } from "../decisions/event_loop.ts";

type Datagram = NonNullable<ReturnType<typeof encodeHomeMessage>>;

/** What the homes of a VM depend on. */
export interface EmulatedHomesOptions {
  readonly self: TargetOwner;
  readonly loop: EventLoop;
  /** Delivers a datagram to the VM, unless it is lost. */
  send(to: VmId, datagram: Datagram): void;
}

/** See the module comment. */
export class EmulatedHomes {
  /** Services whose homes this VM assigns in its region. */
  readonly owned = new Set<ServiceId>();
  readonly #options: EmulatedHomesOptions;
  readonly #agent: HomeCoordinator;
  readonly #toPlace = new Set<ServiceId>();
  #path: RequestPath | undefined;
  #isFlushDue = false;
  #terms = 0;

  constructor(options: EmulatedHomesOptions) {
    this.#options = options;
    const { vm } = options.self;
    const startedAt = options.loop.now;
    this.#agent = new HomeCoordinator({
      self: options.self,
      newTerm: () => `${vm}-${startedAt}-${this.#terms++}` as OwnerTerm,
      onOutgoing: () => this.#flushSoon(),
      onHomes: (service) => this.#placeSoon(service),
      onLoads: (_service, loads) =>
        this.#path?.steering.recordPeerLoads(loads, options.loop.now),
      onOwnership: (service, isOwner) => {
        if (isOwner) {
          this.owned.add(service);
        } else {
          this.owned.delete(service);
        }
      },
    });
  }

  /** The homes as steering uses them. */
  get source(): HomeSource {
    return this.#agent.source;
  }

  /** Hashes of the targets that are homes of objects in use. */
  targets(): ReadonlySet<number> {
    return this.#agent.homes();
  }

  /** Starts to place waiting requests of the VM's request path. */
  start(path: RequestPath): void {
    this.#path = path;
    this.#options.loop.after(HOME_TICK_MS, () => this.#tick());
  }

  /** Ends with the process of its VM. */
  stop(): void {
    this.#path = undefined;
  }

  /** Sets the VMs that are up. */
  setVms(vms: readonly TargetOwner[]): void {
    this.#agent.setVms(vms, this.#options.loop.now);
  }

  /** Sets the targets of the services that have homes by load. */
  setTargets(targets: ReadonlyMap<ServiceId, readonly HomeTarget[]>): void {
    this.#agent.setTargets(targets, this.#options.loop.now);
  }

  /** Handles a datagram of another VM. */
  receive(datagram: Datagram, from: VmId): void {
    const message = decodeHomeMessage(datagram);
    if (message !== undefined && this.#path !== undefined) {
      this.#agent.receive(message, from, this.#options.loop.now);
    }
  }

  #tick(): void {
    if (this.#path !== undefined) {
      this.#agent.tick(this.#options.loop.now);
      this.#flush();
      this.#options.loop.after(HOME_TICK_MS, () => this.#tick());
    }
  }

  #flushSoon(): void {
    if (!this.#isFlushDue) {
      this.#isFlushDue = true;
      this.#options.loop.after(0, () => this.#flush());
    }
  }

  #flush(): void {
    this.#isFlushDue = false;
    if (this.#path === undefined) {
      return;
    }
    const { loop, send } = this.#options;
    for (const { to, message } of this.#agent.takeOutgoing(loop.now)) {
      const datagram = encodeHomeMessage(message);
      if (datagram !== undefined) {
        send(to, datagram);
      }
    }
  }

  #placeSoon(service: ServiceId): void {
    if (this.#toPlace.size === 0) {
      this.#options.loop.after(0, () => this.#placeWaiting());
    }
    this.#toPlace.add(service);
  }

  #placeWaiting(): void {
    const services = [...this.#toPlace];
    this.#toPlace.clear();
    for (const service of services) {
      this.#path?.homesKnown(service, this.#options.loop.now);
    }
  }
}
