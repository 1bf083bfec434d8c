/**
 * What the planner makes its next plan from: reports of VMs, and what can be
 * known of silent ones. Without a clock, a table or a socket.
 *
 * @module
 */

import type { Sender } from "@poplarthread/coordination";
import {
  type Confirmation,
  type MeasuredDemand,
  nextPlan,
  type Policy,
  type Silence,
  type TargetEntry,
  type VmEntry,
  watchSilence,
} from "@poplarthread/decisions";
import type { InstanceId, VmId } from "@poplarthread/ids";
import type { PlannerReport, StoredPlan } from "./peers/messages.ts";

/** What the planner looks at, beside what VMs report to it. */
export interface PlanInputs {
  readonly policy: Policy;
  readonly revision: number;
  readonly vms: readonly VmEntry[];
  readonly targets: readonly TargetEntry[];
  /** Instances of the members, as far as they were heard. */
  readonly instances: ReadonlyMap<VmId, InstanceId>;
  /** VMs that the platform lists; undefined while its list cannot be read. */
  readonly listed: ReadonlySet<VmId> | undefined;
}

/** A plan and who may hold something by it. */
export type PlannedHolders = Pick<StoredPlan, "plan" | "holders">;

/** A VM that reports with another instance for this long has started anew: no
 * late word of an earlier life keeps coming. Two reports are 2 s apart. */
const NEW_LIFE_MS = 4_000;
/** Reports older than this say nothing of a VM any more: two missed ones. */
const FRESH_MS = 5_000;
/** A VM that the platform does not list for this long is gone: the list lags,
 * so what it has left out was gone before, and one odd answer must not do. */
const UNLISTED_MS = 10_000;
/** Longest loan of slots; those of an ended instance outlive it. */
const LONGEST_LOAN_MS = 30_000;

interface Reported {
  readonly instance: InstanceId;
  readonly report: PlannerReport;
  /** When this instance was heard first, and last. */
  readonly firstAt: number;
  readonly at: number;
}

/** The planner's memory; a planner that starts begins with none. */
export class Planning {
  readonly #reports = new Map<VmId, Reported>();
  readonly #unlistedSince = new Map<VmId, number>();
  #instances: ReadonlyMap<VmId, InstanceId> = new Map();
  /** Sequence of the plan in force. */
  #sequence = 0;
  /** Live VMs, whose word on loans is needed. */
  #live: readonly VmId[] = [];
  #silences: readonly Silence[] = [];

  /** Takes in what a VM reports. */
  hear(from: Sender, report: PlannerReport, now: number): void {
    const before = this.#reports.get(from.vm);
    const isSame = before?.instance === from.instance;
    const firstAt = isSame ? before.firstAt : now;
    const { instance } = from;
    this.#reports.set(from.vm, { instance, report, firstAt, at: now });
  }

  /** Whether every VM that seems to live was heard, so that a plan can name it. */
  knowsAll(inputs: PlanInputs): boolean {
    return inputs.vms.every(({ vm, live }) =>
      !live || this.#reports.has(vm) || inputs.instances.has(vm)
    );
  }

  /** The plan after `previous`, which was first seen `previousAgeMs` ago. */
  next(
    inputs: PlanInputs,
    previous: PlannedHolders | undefined,
    { now, previousAgeMs }: { now: number; previousAgeMs: number },
  ): PlannedHolders {
    this.#live = inputs.vms.filter(({ live }) => live).map(({ vm }) => vm);
    this.#instances = inputs.instances;
    this.#sequence = previous?.plan.sequence ?? 0;
    const confirmations = this.#confirmations(previous, now);
    const plan = nextPlan({
      ...inputs,
      vms: inputs.vms.map((vm) => ({
        ...vm,
        live: vm.live && this.#mayHold(vm.vm, previous, now),
      })),
      demand: this.#demand(now),
      confirmations,
      stopped: this.#stopped(inputs, previous, { now, confirmations }),
      ...(previous === undefined ? {} : { previous: previous.plan }),
      previousAgeMs,
    });
    const holding = new Set(
      [...plan.allotments, ...plan.links].map(({ vm }) => vm),
    );
    const holders = [...holding].map((vm) => this.#holder(vm, previous, now));
    return { plan, holders: holders.filter((one) => one !== undefined) };
  }

  /** The VM's present instance: that of its reports, or else as heartbeats say. */
  #instanceOf(vm: VmId): InstanceId | undefined {
    return this.#reports.get(vm)?.instance ?? this.#instances.get(vm);
  }

  /**
   * A VM that was never heard has no instance that could hold anything, and a new
   * instance holds nothing while the earlier one may: its loans outlive it.
   */
  #mayHold(
    vm: VmId,
    previous: PlannedHolders | undefined,
    now: number,
  ): boolean {
    const instance = this.#instanceOf(vm);
    const holder = previous?.holders.find((one) => one.vm === vm);
    return instance !== undefined &&
      (holder === undefined || holder.instance === instance ||
        this.#isGone(holder, now));
  }

  /** The instance that the VM's rows are about. */
  #holder(
    vm: VmId,
    previous: PlannedHolders | undefined,
    now: number,
  ): Sender | undefined {
    const instance = this.#instanceOf(vm);
    return instance !== undefined && this.#mayHold(vm, previous, now)
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

  /** Only the word of the very instance that the plan names counts. */
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
    this.#watchList(inputs, holders, ctx.now);
    const { silences, stopped } = watchSilence(this.#silences, {
      holdings: [...plan.allotments, ...plan.links],
      confirmed: new Map(
        ctx.confirmations.map(({ vm, sequence }) => [vm, sequence]),
      ),
      gone: new Set(
        holders.filter((holder) => this.#isGone(holder, ctx.now))
          .map(({ vm }) => vm),
      ),
      now: ctx.now,
    });
    this.#silences = silences;
    return stopped;
  }

  #watchList(
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
   * Whether an instance has ended and nobody uses slots that it lent. Its
   * successor may use its slots by an older plan, until it follows this one.
   */
  #isGone({ vm, instance }: Sender, now: number): boolean {
    const endedAt = this.#endedAt({ vm, instance }, now);
    const heir = this.#reports.get(vm);
    const mayLag = heir !== undefined && heir.instance !== instance &&
      heir.report.sequence < this.#sequence;
    return endedAt !== undefined && !mayLag &&
      (now - endedAt >= LONGEST_LOAN_MS ||
        this.#isFreeOfLoans(instance, endedAt));
  }

  /** When the instance had ended at the latest; undefined where it may live. */
  #endedAt({ vm, instance }: Sender, now: number): number | undefined {
    const reported = this.#reports.get(vm);
    const isReplaced = reported !== undefined &&
      reported.instance !== instance && now - reported.at < FRESH_MS &&
      reported.at - reported.firstAt >= NEW_LIFE_MS;
    if (isReplaced) {
      return reported.firstAt;
    }
    const since = this.#unlistedSince.get(vm);
    return since !== undefined && now - since >= UNLISTED_MS
      ? since
      : undefined;
  }

  /** Whether all live VMs have reported since, and none with a loan of that instance. */
  #isFreeOfLoans(instance: InstanceId, since: number): boolean {
    return this.#live.every((vm) => {
      const reported = this.#reports.get(vm);
      return reported !== undefined && reported.at > since &&
        !reported.report.lenders.includes(instance);
    });
  }
}
