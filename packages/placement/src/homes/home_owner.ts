/**
 * One term of a VM as the owner of a service's homes in its region: answers queries,
 * takes reports, and tells the VMs of changes and other owners of the load.
 *
 * @module
 */

import type { RegionId, ServiceId, VmId } from "@poplarthread/ids";
import type { HomeTarget, OwnedHomes, ServiceDemand } from "./home_agent.ts";
import { DemandSums } from "./demand_sums.ts";
import type { HomeChanges } from "./home_changes.ts";
import {
  type CountedReport,
  hasEarlierHomes,
  isNewReport,
  isRecovering,
} from "./home_protocol.ts";
import { HomeTable } from "./home_table.ts";
import type {
  DemandReport,
  HomeMessage,
  HomeQuery,
  ObjectHomes,
  OwnerTerm,
  RoomShare,
  TargetShare,
} from "./messages.ts";
import { splitHomes } from "./split_messages.ts";
import { SummaryLog } from "./summary_log.ts";

/** Interval at which rates are computed and homes are moved and dropped. */
const SWEEP_MS = 1_000;
/** Minimum time between two updates with changes; who asks is answered at once. */
const CHANGES_MS = 300;
/** Maximum time between two updates, so that VMs learn of a new term. */
const UPDATE_MS = 1_000;

/** Datagrams with changes in one update, each of which goes to all VMs of the region. */
const MAX_UPDATE_PARTS = 8;
/** Datagrams with missed changes for one VM at a time. */
const MAX_MISSED_PARTS = 32;

/** Options of a {@link HomeOwner}. */
export interface HomeOwnerOptions {
  readonly service: ServiceId;
  readonly region: RegionId;
  readonly term: OwnerTerm;
  readonly startedAt: number;
  /** Limit of a target's load, as a multiple of the mean load. */
  readonly bound: number;
  /** How much of the demand there is room for; see HomeAgentOptions. */
  roomOf(demand: ServiceDemand): readonly RoomShare[];
}

/** Messages for the VMs of the region, and for the owners of other regions. */
export interface OwnerMessages {
  readonly updates: readonly HomeMessage[];
  readonly summaries: readonly HomeMessage[];
}

/** See the module comment. Times are milliseconds of the monotonic clock. */
export class HomeOwner {
  readonly #options: HomeOwnerOptions;
  readonly #table: HomeTable;
  readonly #reports = new Map<VmId, CountedReport>();
  /** When VMs were last sent changes that they had missed. */
  readonly #resentAt = new Map<VmId, number>();
  readonly #demand = new DemandSums();
  readonly #summaries = new SummaryLog();
  #room: readonly RoomShare[] = [];
  #sweptAt: number;
  #updatedAt = -Infinity;
  #updatedSequence = 0;
  /** The sequence number of the update before the last one, which may be in flight. */
  #previousSequence = 0;

  constructor(options: HomeOwnerOptions) {
    this.#options = options;
    this.#table = new HomeTable(options);
    this.#sweptAt = options.startedAt;
  }

  /** Numbers of changes since the start of the term. */
  get counts(): Readonly<HomeChanges> {
    return this.#table.counts;
  }

  /** What has been assigned in this term. */
  get owned(): OwnedHomes {
    const { service, term } = this.#options;
    const { homes, peakLoad } = this.#table.targets;
    const { moved } = this.#table.counts;
    const { size: objects } = this.#table;
    return { service, term, objects, homes, peakLoad, moved };
  }

  /** Sets the targets of the service. */
  setTargets(targets: readonly HomeTarget[]): void {
    this.#table.setTargets(targets);
  }

  /** Sets the numbers of VMs by region. */
  setVms(vms: ReadonlyMap<RegionId, number>): void {
    this.#table.targets.setVms(vms);
  }

  /** The homes of a query's object. */
  assign(query: HomeQuery, now: number): ObjectHomes {
    return this.#table.assign(query, now);
  }

  /** Answers queries of a VM. */
  answer(queries: readonly HomeQuery[], now: number): readonly HomeMessage[] {
    const homes = queries.map((query) => this.#table.assign(query, now));
    return splitHomes(homes).map((part) => ({
      ...this.#updateOf(part),
      sequence: undefined,
      after: this.#table.sequence,
    }));
  }

  /** Takes a report; returns the changes that its VM has missed. */
  receiveReport(
    report: DemandReport,
    from: VmId,
    now: number,
  ): readonly HomeMessage[] {
    const counted = { number: report.number, receivedAt: now };
    if (isNewReport(this.#reports.get(from), counted)) {
      this.#reports.set(from, counted);
      this.#count(report, now);
    }
    const isOwnTerm = report.term === this.#options.term;
    return this.#missedChanges(from, isOwnTerm ? report.sequence : 0, now);
  }

  /** Takes the summary of another region's owner. */
  receiveSummary(
    region: RegionId,
    loads: readonly TargetShare[],
    now: number,
  ): void {
    this.#table.targets.setRemote(region, loads, now);
  }

  /** Periodic work. */
  tick(now: number): OwnerMessages {
    const isSweepDue = now - this.#sweptAt >= SWEEP_MS;
    if (isSweepDue) {
      this.#sweep(now);
    }
    return {
      updates: this.#takeUpdates(now),
      summaries: isSweepDue ? this.#takeSummaries(now) : [],
    };
  }

  #sweep(now: number): void {
    const spanMs = now - this.#sweptAt;
    this.#sweptAt = now;
    this.#table.sweep(now, {
      isRecovering: isRecovering(this.#options.startedAt, now),
    });
    this.#room = this.#options.roomOf({
      ...this.#table.targets.ownLoad(),
      others: this.#table.targets.otherRegions(),
      spanMs,
      priorities: this.#demand.take(),
    });
  }

  #count(report: DemandReport, now: number): void {
    if (hasEarlierHomes(report, this.#options.term)) {
      report.objects.forEach((demand) => this.#table.adopt(demand, now));
    }
    for (const demand of report.objects) {
      if (this.#table.homesOf(demand.object) === undefined) {
        this.#table.adopt(demand, now);
      }
      this.#table.recordDemand(demand, now);
    }
    this.#table.targets.observe(report.targets);
    this.#demand.add(report.priorities);
  }

  #takeUpdates(now: number): readonly HomeMessage[] {
    const { sequence } = this.#table;
    const isChanged = sequence > this.#updatedSequence;
    if (now - this.#updatedAt < (isChanged ? CHANGES_MS : UPDATE_MS)) {
      return [];
    }
    const updates = this.#changes(this.#updatedSequence, MAX_UPDATE_PARTS);
    this.#updatedAt = now;
    this.#previousSequence = this.#updatedSequence;
    this.#updatedSequence = updates.at(-1)!.sequence;
    return updates;
  }

  /** The parts of a report come at once; its VM needs the changes that it missed once. */
  #missedChanges(
    vm: VmId,
    applied: number,
    now: number,
  ): readonly HomeMessage[] {
    const isRepeated = now - (this.#resentAt.get(vm) ?? -Infinity) < CHANGES_MS;
    if (applied >= this.#previousSequence || isRepeated) {
      return [];
    }
    this.#resentAt.set(vm, now);
    return this.#changes(applied, MAX_MISSED_PARTS);
  }

  /**
   * Updates with the changes after a sequence number, each following the one before.
   * Later changes are left for the next updates.
   */
  #changes(since: number, maxParts: number) {
    let after = since;
    const parts = splitHomes(this.#table.changesSince(since));
    return parts.slice(0, maxParts).map((part, at) => {
      const isLast = at === parts.length - 1;
      const sequence = isLast ? this.#table.sequence : part.at(-1)!.sequence;
      const update = { ...this.#updateOf(part), sequence, after };
      after = sequence;
      return update;
    });
  }

  #updateOf(homes: readonly ObjectHomes[]) {
    const { service, term } = this.#options;
    return {
      kind: "update" as const,
      service,
      term,
      homes: homes.map(({ object, targets }) => ({ object, targets })),
      room: this.#room,
    };
  }

  #takeSummaries(now: number): readonly HomeMessage[] {
    const { service, region } = this.#options;
    return this.#summaries.take(this.#table.targets.shares(), now)
      .map((loads) => ({ kind: "summary", service, region, loads }));
  }
}
