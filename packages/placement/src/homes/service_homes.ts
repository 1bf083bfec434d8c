/**
 * One VM's part in the homes of one service: its copy of the homes, and the table
 * while it is the owner of its region.
 *
 * @module
 */

import type { RegionId, ServiceId, VmId } from "@poplarthread/ids";
import { hashText } from "../hash.ts";
import { ownerOf, type TargetOwner } from "../target_owners.ts";
import type {
  HomeAgentOptions,
  HomeTarget,
  OutgoingHomeMessage,
  OwnedHomes,
} from "./home_agent.ts";
import type { ObservedResponse } from "./demand_log.ts";
import { HomeDirectory } from "./home_directory.ts";
import { HomeOwner } from "./home_owner.ts";
import type { HomeChanges } from "./home_changes.ts";
import { LoadRelay } from "./load_relay.ts";
import type {
  HomeMessage,
  HomeQuery,
  ObjectHomes,
  ObservedLoad,
  OwnerTerm,
} from "./messages.ts";
import { splitObservedLoads, splitQueries } from "./split_messages.ts";

/** Most objects keep the first target of their order, and none gets a multiple of its share. */
const DEFAULT_BOUND = 2;

/** See the module comment. Times are milliseconds of the monotonic clock. */
export class ServiceHomes {
  readonly directory: HomeDirectory;
  readonly #service: ServiceId;
  readonly #options: HomeAgentOptions;
  readonly #loads = new LoadRelay();
  #targets: readonly HomeTarget[] = [];
  #vms: readonly TargetOwner[] | undefined;
  #ownerVm: VmId | undefined;
  #owner: HomeOwner | undefined;
  /** Changes of the terms that have ended. */
  #endedCounts: HomeChanges = { assigned: 0, added: 0, moved: 0, dropped: 0 };
  #outgoing: OutgoingHomeMessage[] = [];

  constructor(service: ServiceId, options: HomeAgentOptions) {
    this.#service = service;
    this.#options = options;
    this.directory = new HomeDirectory({
      assign: (query, now) => this.#assign(query, now),
      onQueries: () => options.onOutgoing(),
      onHomes: () => options.onHomes(service),
    });
  }

  /** Changes made by this VM as the owner. */
  get counts(): HomeChanges {
    const current = this.#owner?.counts;
    return current === undefined
      ? this.#endedCounts
      : addCounts(this.#endedCounts, current);
  }

  /** What this VM has assigned as the owner; undefined if it isn't the owner. */
  get owned(): OwnedHomes | undefined {
    return this.#owner?.owned;
  }

  /** Sets the service's targets; without any it has no homes by load. */
  setTargets(targets: readonly HomeTarget[], now: number): void {
    this.#targets = targets;
    this.#loads.setTargets(targets);
    this.directory.setTargets(new Set(targets.map(({ hash }) => hash)));
    this.#owner?.setTargets(targets);
    this.#elect(now);
  }

  /** Sets the reachable VMs. */
  setVms(vms: readonly TargetOwner[], now: number): void {
    const { self } = this.#options;
    // A VM that is leaving follows the next owner, unless there is none in its region.
    const hasOwner = vms.some(({ region }) => region === self.region);
    this.#vms = hasOwner ? vms : [...vms, self];
    this.#owner?.setVms(countByRegion(this.#vms));
    this.#elect(now);
  }

  /** Records what a target's response shows about it. */
  recordResponse(response: ObservedResponse): void {
    if (!this.directory.isActive) {
      return;
    }
    this.directory.demand.recordResponse(response);
    const { target, requests, pace } = response;
    if (requests !== undefined) {
      this.#loads.record({ target, requests, pace });
    }
  }

  /** Takes another VM's message. */
  receive(message: HomeMessage, from: VmId, now: number): void {
    switch (message.kind) {
      case "query":
        this.#answer(from, this.#owner?.answer(message.queries, now) ?? []);
        break;
      case "report":
        this.#answer(
          from,
          this.#owner?.receiveReport(message.report, from, now) ?? [],
        );
        break;
      case "update":
        this.directory.receive(message, from, now);
        break;
      case "loads":
        this.#receiveLoads(message.loads, from);
        break;
      case "summary":
        this.#owner?.receiveSummary(message.region, message.loads, now);
        break;
    }
  }

  /** Periodic work. */
  tick(now: number): void {
    this.directory.tick(now);
    this.#report(now);
    this.#passOnLoads(now);
    if (this.#owner !== undefined) {
      const { updates, summaries } = this.#owner.tick(now);
      this.#broadcast(updates, now);
      this.#otherOwners().forEach((vm) => this.#send(vm, summaries));
    }
  }

  /** Removes and returns the messages to send. */
  takeOutgoing(): readonly OutgoingHomeMessage[] {
    const queries = this.directory.takeQueries();
    if (queries.length > 0 && this.#ownerVm !== undefined) {
      const messages = splitQueries(queries).map((part): HomeMessage => ({
        kind: "query",
        service: this.#service,
        queries: part,
      }));
      this.#send(this.#ownerVm, messages);
    }
    const outgoing = this.#outgoing;
    this.#outgoing = [];
    return outgoing;
  }

  /** Determines the owner in this VM's region. */
  #elect(now: number): void {
    const { self } = this.#options;
    const vms = this.#vms;
    const isAssigned = vms !== undefined && this.#targets.length > 0;
    const vm = isAssigned ? this.#ownerIn(self.region, vms) : undefined;
    if (vm === this.#ownerVm) {
      return;
    }
    const wasOwner = this.#ownerVm === self.vm;
    this.#ownerVm = vm;
    this.directory.follow(vm);
    if (wasOwner) {
      this.#resign();
    }
    if (vm === self.vm) {
      this.#startTerm(now);
    }
  }

  #startTerm(now: number): void {
    const options = this.#options;
    const service = this.#service;
    const owner = new HomeOwner({
      service,
      region: options.self.region,
      term: options.newTerm() as OwnerTerm,
      startedAt: now,
      bound: options.bound ?? DEFAULT_BOUND,
      roomOf: (demand) => options.roomOf?.(service, demand) ?? [],
    });
    owner.setTargets(this.#targets);
    owner.setVms(countByRegion(this.#vms ?? []));
    this.#owner = owner;
    this.#report(now);
    options.onOwnership(service, true);
  }

  #resign(): void {
    this.#endedCounts = this.counts;
    this.#owner = undefined;
    this.#options.onOwnership(this.#service, false);
  }

  #assign(query: HomeQuery, now: number): ObjectHomes | undefined {
    return this.#owner?.assign(query, now);
  }

  #report(now: number): void {
    const to = this.#ownerVm;
    if (to === undefined) {
      return;
    }
    const service = this.#service;
    for (const report of this.directory.takeReports(now)) {
      this.#deliver(to, { kind: "report", service, report }, now);
    }
  }

  /** Sends observed loads to the owner, or as the owner to the VMs of the region. */
  #passOnLoads(now: number): void {
    const to = this.#ownerVm;
    if (to === undefined) {
      return;
    }
    const service = this.#service;
    const messages = splitObservedLoads(this.#loads.take())
      .map((loads): HomeMessage => ({ kind: "loads", service, loads }));
    if (this.#owner !== undefined) {
      this.#broadcast(messages, now);
    } else {
      this.#send(to, messages);
    }
  }

  #receiveLoads(loads: readonly ObservedLoad[], from: VmId): void {
    if (this.#owner !== undefined && from !== this.#ownerVm) {
      loads.forEach((load) => this.#loads.record(load));
    } else if (from === this.#ownerVm) {
      this.#loads.note(loads);
      this.#options.onLoads?.(this.#service, loads);
    }
  }

  #broadcast(messages: readonly HomeMessage[], now: number): void {
    const { self } = this.#options;
    for (const message of messages) {
      for (const { vm, region } of this.#vms ?? []) {
        if (region === self.region) {
          this.#deliver(vm, message, now);
        }
      }
    }
  }

  /** Sends a message, or takes it itself if it is for this VM. */
  #deliver(to: VmId, message: HomeMessage, now: number): void {
    if (to === this.#options.self.vm) {
      this.receive(message, to, now);
    } else {
      this.#outgoing.push({ to, message });
    }
  }

  #send(to: VmId, messages: readonly HomeMessage[]): void {
    if (to !== this.#options.self.vm) {
      messages.forEach((message) => this.#outgoing.push({ to, message }));
    }
  }

  /** Sends messages before the next tick. */
  #answer(to: VmId, messages: readonly HomeMessage[]): void {
    this.#send(to, messages);
    if (this.#outgoing.length > 0) {
      this.#options.onOutgoing();
    }
  }

  /** The owners of the service in the other regions. */
  #otherOwners(): readonly VmId[] {
    const vms = this.#vms ?? [];
    const regions = new Set(vms.map(({ region }) => region));
    regions.delete(this.#options.self.region);
    return [...regions].flatMap((region) => this.#ownerIn(region, vms) ?? []);
  }

  #ownerIn(
    region: RegionId,
    vms: readonly TargetOwner[],
  ): VmId | undefined {
    return ownerOf({ hash: hashText(this.#service), region }, vms);
  }
}

function countByRegion(
  vms: readonly TargetOwner[],
): ReadonlyMap<RegionId, number> {
  const counts = new Map<RegionId, number>();
  for (const { region } of vms) {
    counts.set(region, (counts.get(region) ?? 0) + 1);
  }
  return counts;
}

function addCounts(a: HomeChanges, b: Readonly<HomeChanges>): HomeChanges {
  return {
    assigned: a.assigned + b.assigned,
    added: a.added + b.added,
    moved: a.moved + b.moved,
    dropped: a.dropped + b.dropped,
  };
}
