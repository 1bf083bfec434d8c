/**
 * Targets, and VMs that exchange messages, for tests of homes by load.
 *
 * @module
 */

import type { RegionId, VmId } from "@poplarthread/ids";
import { hashText } from "../hash.ts";
import type { TargetOwner } from "../target_owners.ts";
import { SERVICE } from "../testing.ts";
import { HOME_TICK_MS, type HomeTarget } from "./home_agent.ts";
import { HomeCoordinator } from "./home_coordinator.ts";
import type { HomeMessage } from "./messages.ts";

/** Step of the clock, and time that a message takes. */
const STEP_MS = 5;

/** Targets named `REGION-0`, `REGION-1` and so on, of three slots each. */
export function homeTargets(region: string, count: number): HomeTarget[] {
  return Array.from({ length: count }, (_, at) => ({
    hash: hashText(`${region}-${at}`),
    region: region as RegionId,
    slots: 3,
    startedAt: 0,
  }));
}

/** VMs named `vm-REGION-0` and so on. */
export function vmsIn(region: string, count: number): TargetOwner[] {
  return Array.from({ length: count }, (_, at) => ({
    vm: `vm-${region}-${at}` as VmId,
    region: region as RegionId,
    hash: hashText(`vm-${region}-${at}`),
  }));
}

/** A message under way. */
export interface SentMessage {
  readonly from: VmId;
  readonly to: VmId;
  readonly message: HomeMessage;
}

/** VMs with a network between them and one clock. */
export class HomeFleet {
  readonly agents = new Map<VmId, HomeCoordinator>();
  now = 0;
  /** Number of messages sent. */
  sent = 0;
  /** Whether a message gets lost. */
  isLost: (sent: SentMessage) => boolean = () => false;
  /** Services whose pending homes have become known, by the VM that waited. */
  readonly answered: VmId[] = [];
  readonly #vms: readonly TargetOwner[];
  #inFlight: SentMessage[] = [];
  #terms = 0;

  constructor(vms: readonly TargetOwner[], targets: readonly HomeTarget[]) {
    this.#vms = vms;
    for (const self of vms) {
      this.agents.set(self.vm, this.#createAgent(self));
    }
    this.setVms(vms);
    this.setTargets(targets);
  }

  /** Sets the VMs that all of them see, or only some. */
  setVms(vms: readonly TargetOwner[], of = this.#vms): void {
    of.forEach(({ vm }) => this.agents.get(vm)?.setVms(vms, this.now));
  }

  setTargets(targets: readonly HomeTarget[]): void {
    const services = new Map([[SERVICE, targets]]);
    this.agents.forEach((agent) => agent.setTargets(services, this.now));
  }

  /** Ends a VM without notice. */
  crash(vm: VmId): void {
    this.agents.delete(vm);
  }

  /** A caller's request; returns the homes that the VM knows. */
  request(vm: VmId, name: string, workMs = 100): readonly number[] {
    const object = hashText(name);
    const request = { service: SERVICE, object, workMs };
    const source = this.agents.get(vm)?.source;
    const lookup = source?.lookUp(request, this.now);
    source?.recordDemand(request, 0);
    return lookup?.kind === "assigned" ? lookup.targets : [];
  }

  /** Asks for one more home of an object. */
  requestAnother(vm: VmId, name: string, workMs = 100): void {
    const request = { service: SERVICE, object: hashText(name), workMs };
    this.agents.get(vm)?.source.requestAnother(request, this.now);
  }

  /** The homes that a VM knows. */
  homesOf(vm: VmId, name: string): readonly number[] {
    const request = { service: SERVICE, object: hashText(name), workMs: 100 };
    const lookup = this.agents.get(vm)?.source.lookUp(request, this.now);
    return lookup?.kind === "assigned" ? lookup.targets : [];
  }

  /** Lets time pass; calls `onTick` at each tick. */
  run(durationMs: number, onTick: () => void = () => {}): void {
    for (const end = this.now + durationMs; this.now < end;) {
      this.now += STEP_MS;
      this.#deliver();
      if (this.now % HOME_TICK_MS === 0) {
        onTick();
        this.agents.forEach((agent) => agent.tick(this.now));
      }
      this.#collect();
    }
  }

  #deliver(): void {
    const arriving = this.#inFlight;
    this.#inFlight = [];
    for (const { to, from, message } of arriving) {
      this.agents.get(to)?.receive(message, from, this.now);
    }
  }

  #collect(): void {
    for (const [from, agent] of this.agents) {
      for (const { to, message } of agent.takeOutgoing(this.now)) {
        this.sent += 1;
        if (!this.isLost({ from, to, message })) {
          this.#inFlight.push({ from, to, message });
        }
      }
    }
  }

  #createAgent(self: TargetOwner): HomeCoordinator {
    return new HomeCoordinator({
      self,
      newTerm: () => `term-${this.#terms++}`,
      onOutgoing: () => {},
      onHomes: () => this.answered.push(self.vm),
      onOwnership: () => {},
    });
  }
}
