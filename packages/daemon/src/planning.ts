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
  /** VMs that the platform lists; undefined while its list cannot be read. */
  readonly listed: ReadonlySet<VmId> | undefined;
}

/** A plan and who may hold something by it. */
export type PlannedHolders = Pick<StoredPlan, "plan" | "holders">;

/** A VM that reports with another instance for this long has started anew: no
 * late word of an earlier life keeps coming. Two reports are 2 s apart. */
const NEW_LIFE_MS = 5_000;
/** Reports older than this say nothing of a VM any more: two missed ones. */
const FRESH_MS = 5_000;
/** A VM that the platform does not list for this long is gone, and its longest
 * request of 30 s with it; the list lags by seconds. */
const UNLISTED_MS = 60_000;

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
  #silences: readonly Silence[] = [];

  /** Takes in what a VM reports. */
  hear(from: Sender, report: PlannerReport, now: number): void {
    const before = this.#reports.get(from.vm);
    const isSame = before?.instance === from.instance;
    const firstAt = isSame ? before.firstAt : now;
    const { instance } = from;
    this.#reports.set(from.vm, { instance, report, firstAt, at: now });
  }

  /** The plan after `previous`, which was first seen `previousAgeMs` ago. */
  next(
    inputs: PlanInputs,
    previous: PlannedHolders | undefined,
    { now, previousAgeMs }: { now: number; previousAgeMs: number },
  ): PlannedHolders {
    const confirmations = this.#confirmations(previous, now);
    const plan = nextPlan({
      ...inputs,
      vms: inputs.vms.map((vm) => ({
        ...vm,
        // A VM that never reported has no instance that could hold anything.
        live: vm.live && this.#reports.has(vm.vm),
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
    const holders = [...holding].map((vm) => this.#holder(vm, previous));
    return { plan, holders: holders.filter((one) => one !== undefined) };
  }

  /** The VM's present instance, or the one that held its slots before. */
  #holder(vm: VmId, previous: PlannedHolders | undefined): Sender | undefined {
    const reported = this.#reports.get(vm);
    return reported === undefined
      ? previous?.holders.find((holder) => holder.vm === vm)
      : { vm, instance: reported.instance };
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

  #isGone({ vm, instance }: Sender, now: number): boolean {
    const reported = this.#reports.get(vm);
    const isReplaced = reported !== undefined &&
      reported.instance !== instance && now - reported.at < FRESH_MS &&
      reported.at - reported.firstAt >= NEW_LIFE_MS;
    const since = this.#unlistedSince.get(vm);
    return isReplaced || (since !== undefined && now - since >= UNLISTED_MS);
  }
}
