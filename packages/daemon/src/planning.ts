/**
 * Collects the inputs of the planner's next plan: reports of VMs, and what is known
 * of VMs that stopped reporting. Uses no clock, table or socket.
 *
 * @module
 */

import type { Sender } from "@poplarthread/coordination";
import {
  type Confirmation,
  findStoppedVms,
  type MeasuredDemand,
  nextPlan,
  type Policy,
  type TargetEntry,
  type UnresponsiveVm,
  type VmEntry,
} from "@poplarthread/decisions";
import type { InstanceId, VmId } from "@poplarthread/ids";
import type { PlannerReport, StoredPlan } from "./peers/messages.ts";

/** Inputs of the planner other than the reports of VMs. */
export interface PlanInputs {
  readonly policy: Policy;
  readonly revision: number;
  readonly vms: readonly VmEntry[];
  readonly targets: readonly TargetEntry[];
  /** Instances of the members that have sent a heartbeat. */
  readonly instances: ReadonlyMap<VmId, InstanceId>;
  /** VMs that the platform lists; undefined without a recent list. */
  readonly listed: ReadonlySet<VmId> | undefined;
}

/** A plan and the instances that may hold slots or links by it. */
export type PlannedHolders = Pick<StoredPlan, "plan" | "holders">;

/** A VM whose reports have come from another instance for this long has restarted;
 * delayed reports of an earlier instance end sooner. Reports are 2 s apart. */
const MIN_NEW_INSTANCE_MS = 4_000;
/** Reports older than this no longer count; two reports were missed by then. */
const MAX_REPORT_AGE_MS = 5_000;
/** A VM that the platform has not listed for this long has stopped. The list lags, so a
 * VM missing from it stopped earlier; a single wrong response must not suffice. */
const MIN_UNLISTED_MS = 10_000;
/** Maximum duration of a loan of slots; loans outlive the instance that lent them. */
const MAX_LOAN_MS = 30_000;

interface LatestReport {
  readonly instance: InstanceId;
  readonly report: PlannerReport;
  /** When the first and the latest report of this instance arrived. */
  readonly firstReceivedAt: number;
  readonly at: number;
}

/** State of the planner, empty when it starts. */
export class Planning {
  readonly #reports = new Map<VmId, LatestReport>();
  readonly #unlistedSince = new Map<VmId, number>();
  #instances: ReadonlyMap<VmId, InstanceId> = new Map();
  /** Sequence of the plan in force. */
  #planSequence = 0;
  /** Live VMs, all of which must report that they hold no loan of an ended instance. */
  #liveVms: readonly VmId[] = [];
  #silences: readonly UnresponsiveVm[] = [];

  /** Stores the report of a VM. */
  addReport(from: Sender, report: PlannerReport, now: number): void {
    const before = this.#reports.get(from.vm);
    const isSame = before?.instance === from.instance;
    const firstReceivedAt = isSame ? before.firstReceivedAt : now;
    const { instance } = from;
    this.#reports.set(from.vm, { instance, report, firstReceivedAt, at: now });
  }

  /** Whether the instance of every live VM is known, so that a plan can name it. */
  hasAllInstances(inputs: PlanInputs): boolean {
    return inputs.vms.every(({ vm, live }) =>
      !live || this.#reports.has(vm) || inputs.instances.has(vm)
    );
  }

  /** Makes the plan after `previous`, which this VM has had for `previousAgeMs`. */
  next(
    inputs: PlanInputs,
    previous: PlannedHolders | undefined,
    { now, previousAgeMs }: { now: number; previousAgeMs: number },
  ): PlannedHolders {
    this.#liveVms = inputs.vms.filter(({ live }) => live).map(({ vm }) => vm);
    this.#instances = inputs.instances;
    this.#planSequence = previous?.plan.sequence ?? 0;
    const confirmations = this.#confirmations(previous, now);
    const plan = nextPlan({
      ...inputs,
      vms: inputs.vms.map((vm) => ({
        ...vm,
        live: vm.live && this.#canHold(vm.vm, previous, now),
      })),
      demand: this.#demand(now),
      confirmations,
      stopped: this.#stopped(inputs, previous, { now, confirmations }),
      ...(previous === undefined ? {} : { previous: previous.plan }),
      previousAgeMs,
    });
    const holdingVms = new Set(
      [...plan.allotments, ...plan.links].map(({ vm }) => vm),
    );
    const holders = [...holdingVms].map((vm) =>
      this.#holderOf(vm, previous, now)
    );
    return { plan, holders: holders.filter((one) => one !== undefined) };
  }

  /** The VM's current instance by its reports, or else by its heartbeats. */
  #instanceOf(vm: VmId): InstanceId | undefined {
    return this.#reports.get(vm)?.instance ?? this.#instances.get(vm);
  }

  /**
   * A VM of which no instance is known can hold nothing, and neither can a new
   * instance while the earlier one may still hold slots: its loans outlive it.
   */
  #canHold(
    vm: VmId,
    previous: PlannedHolders | undefined,
    now: number,
  ): boolean {
    const instance = this.#instanceOf(vm);
    const holder = previous?.holders.find((one) => one.vm === vm);
    return instance !== undefined &&
      (holder === undefined || holder.instance === instance ||
        this.#isReleased(holder, now));
  }

  /** The instance that the plan's entries for a VM apply to. */
  #holderOf(
    vm: VmId,
    previous: PlannedHolders | undefined,
    now: number,
  ): Sender | undefined {
    const instance = this.#instanceOf(vm);
    return instance !== undefined && this.#canHold(vm, previous, now)
      ? { vm, instance }
      : previous?.holders.find((holder) => holder.vm === vm);
  }

  #demand(now: number): readonly MeasuredDemand[] {
    return [...this.#reports].flatMap(([vm, { report, at }]) =>
      report.demand.map(({ service, slots }) => ({
        vm,
        service,
        slots,
        ageMs: now - at,
      }))
    );
  }

  /** Counts only reports of the instance that the plan names. */
  #confirmations(
    previous: PlannedHolders | undefined,
    now: number,
  ): readonly Confirmation[] {
    return (previous?.holders ?? []).flatMap(({ vm, instance }) => {
      const reported = this.#reports.get(vm);
      if (reported?.instance !== instance) {
        return [];
      }
      const { sequence } = reported.report;
      return [{ vm, sequence, ageMs: now - reported.at }];
    });
  }

  #stopped(
    inputs: PlanInputs,
    previous: PlannedHolders | undefined,
    ctx: { now: number; confirmations: readonly Confirmation[] },
  ): ReadonlySet<VmId> {
    if (previous === undefined) {
      return new Set();
    }
    const { plan, holders } = previous;
    this.#updateUnlisted(inputs, holders, ctx.now);
    const { unresponsive: silences, stopped } = findStoppedVms(this.#silences, {
      holdings: [...plan.allotments, ...plan.links],
      confirmed: new Map(
        ctx.confirmations.map(({ vm, sequence }) => [vm, sequence]),
      ),
      gone: new Set(
        holders.filter((holder) => this.#isReleased(holder, ctx.now))
          .map(({ vm }) => vm),
      ),
      now: ctx.now,
    });
    this.#silences = silences;
    return stopped;
  }

  #updateUnlisted(
    { listed }: PlanInputs,
    holders: readonly Sender[],
    now: number,
  ): void {
    for (const { vm } of holders) {
      if (listed === undefined || listed.has(vm)) {
        this.#unlistedSince.delete(vm);
      } else if (!this.#unlistedSince.has(vm)) {
        this.#unlistedSince.set(vm, now);
      }
    }
  }

  /**
   * Whether an instance has ended and no VM uses slots that it lent. Until its
   * successor follows this plan, it may use the slots by an older one.
   */
  #isReleased({ vm, instance }: Sender, now: number): boolean {
    const endedAt = this.#endedAt({ vm, instance }, now);
    const successor = this.#reports.get(vm);
    const successorMayLag = successor !== undefined &&
      successor.instance !== instance &&
      successor.report.sequence < this.#planSequence;
    return endedAt !== undefined && !successorMayLag &&
      (now - endedAt >= MAX_LOAN_MS ||
        this.#hasNoLoans(instance, endedAt));
  }

  /** Latest time at which the instance can have ended; undefined if it may still run. */
  #endedAt({ vm, instance }: Sender, now: number): number | undefined {
    const reported = this.#reports.get(vm);
    const isReplaced = reported !== undefined &&
      reported.instance !== instance && now - reported.at < MAX_REPORT_AGE_MS &&
      reported.at - reported.firstReceivedAt >= MIN_NEW_INSTANCE_MS;
    if (isReplaced) {
      return reported.firstReceivedAt;
    }
    const since = this.#unlistedSince.get(vm);
    return since !== undefined && now - since >= MIN_UNLISTED_MS
      ? since
      : undefined;
  }

  /** Whether all live VMs have reported since then, none with a loan of that instance. */
  #hasNoLoans(instance: InstanceId, since: number): boolean {
    return this.#liveVms.every((vm) => {
      const reported = this.#reports.get(vm);
      return reported !== undefined && reported.at > since &&
        !reported.report.lenders.includes(instance);
    });
  }
}
