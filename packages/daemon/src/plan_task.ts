/**
 * The plan: follows the one in force, and makes the next one while this VM
 * holds the planner's lease.
 *
 * @module
 */

import {
  Dissemination,
  type DisseminationEffect,
  type DisseminationMessage,
  Lease,
  type Ranked,
  type Table,
  TableError,
} from "@poplarthread/coordination";
import {
  type MeasuredDemand,
  nextPlan,
  type Plan,
  type Policy,
  type TargetEntry,
  type VmEntry,
} from "@poplarthread/decisions";
import type { RegionId, VmId, ZoneId } from "@poplarthread/ids";
import type { Log } from "./log.ts";
import type {
  Known,
  PeerId,
  PlannerReport,
  StoredPlan,
} from "./peers/messages.ts";
import { Task } from "./task.ts";

/** What the planner looks at, beside what VMs report to it. */
export interface PlanInputs {
  readonly policy: Policy;
  readonly revision: number;
  readonly vms: readonly VmEntry[];
  readonly targets: readonly TargetEntry[];
}

/** What the task is told. */
export type PlanMessage =
  | { readonly kind: "tick" }
  | { readonly kind: "peer"; readonly message: DisseminationMessage }
  | { readonly kind: "members"; readonly members: readonly Ranked[] }
  /** What a peer follows, told to a VM that has just started. */
  | {
    readonly kind: "known";
    readonly stored: StoredPlan;
    readonly ageMs: number;
  }
  | {
    readonly kind: "report";
    readonly from: VmId;
    readonly report: PlannerReport;
  };

/** Construction of the task. */
export interface PlanTaskOptions {
  readonly self: PeerId & { readonly zone: ZoneId; readonly region: RegionId };
  readonly table: Table;
  /** Undefined while nothing is in force here, or the fleet is not known. */
  readonly inputs: () => PlanInputs | undefined;
  /** What this VM itself would report to the planner. */
  readonly ownReport: () => PlannerReport;
  readonly report: (to: VmId, report: PlannerReport) => void;
  /** VMs that the platform lists; only they count towards a majority. */
  readonly listed: () => readonly VmId[];
  /** Asks a VM for the newest sequence it knows, waiting this long at most. */
  readonly askNewest: (
    vm: VmId,
    timeoutMs: number,
  ) => Promise<number | undefined>;
  /** Asks a VM for the plan it follows; it arrives as `known`. */
  readonly fetchFrom: (vm: VmId) => void;
  readonly send: (to: VmId, message: DisseminationMessage) => void;
  readonly onPlan: (plan: Plan) => void;
  readonly log: Log;
}

const PLAN_KEY = "plan/current";
const TICK_MS = 100;
/** A VM that follows no plan yet looks for one this often, as it serves nothing without. */
const FIRST_STEP_MS = 250;
/** Reports older than this say nothing of a VM any more: two missed ones. */
const FRESH_MS = 5_000;
/** Longest wait for a peer's word on the newest plan; round trips are 110 ms at most. */
const ASK_MS = 1_000;
/** VMs report, and the planner plans, this often: five times within a plan's time to live. */
const STEP_MS = 2_000;
/** Two renewals may be lost; a planner's death costs at most this and a little. */
const LEASE_MS = 6_000;
/** VMs that contend for the lease; the others would only read the table for nothing. */
const CONTENDERS = 3;

interface Reported {
  readonly report: PlannerReport;
  readonly at: number;
}

/** Owns the lease and the plan's tree of pushes. */
export class PlanTask extends Task<PlanMessage> {
  readonly #options: PlanTaskOptions;
  readonly #reports = new Map<VmId, Reported>();
  #lease: Lease | undefined;
  #tree: Dissemination;
  #stored: StoredPlan | undefined;
  /** When this VM wrote or first read the plan. */
  #storedAt = 0;
  /** When the plan was last known to be the newest. */
  #renewedAt = -Infinity;
  #steppedAt = -Infinity;
  #stepping = false;
  #members: readonly Ranked[] = [];

  constructor(options: PlanTaskOptions) {
    super("plan");
    this.#options = options;
    this.#tree = new Dissemination({ self: options.self });
  }

  get plan(): Plan | undefined {
    return this.#stored?.plan;
  }

  /** What this VM tells a peer that has just started. */
  get known(): Pick<Known, "plan" | "planAgeMs"> {
    return this.#stored === undefined ? {} : {
      plan: this.#stored,
      planAgeMs: performance.now() - this.#storedAt,
    };
  }

  get planner(): VmId | undefined {
    return this.#stored?.planner;
  }

  /** Whether this VM plans now, as far as it knows. */
  get planning(): boolean {
    return this.#lease?.token !== undefined;
  }

  protected override open(): void {
    this.#stepping = false;
    this.#contend();
    this.every(TICK_MS, { kind: "tick" });
    this.#step();
  }

  protected override receive(message: PlanMessage): void {
    const now = performance.now();
    switch (message.kind) {
      case "tick":
        this.#perform(this.#tree.tick(now));
        if (now - this.#steppedAt >= this.#periodMs()) {
          this.#step();
        }
        return;
      case "peer":
        this.#perform(this.#tree.receive(message.message, now));
        return;
      case "members":
        this.#tree.setMembers(message.members);
        this.#members = message.members;
        this.#contend();
        return;
      case "known":
        this.#learn(message.stored, message.ageMs);
        return;
      case "report":
        this.#reports.set(message.from, { report: message.report, at: now });
        return;
    }
  }

  /** Hands the lease over, so that the next planner need not wait for it to lapse. */
  protected override async close(): Promise<void> {
    const lease = this.#lease;
    this.#lease = undefined;
    await lease?.stop();
  }

  /** The first VMs by name contend; all see the same ones, without electing them. */
  #contend(): void {
    const first = this.#members
      .filter((member) => member.state === "joined")
      .map(({ vm }) => vm)
      .sort()
      .slice(0, CONTENDERS);
    const contends = first.includes(this.#options.self.vm);
    if (contends && this.#lease === undefined) {
      this.#lease = new Lease(this.#options.table, {
        name: "planner",
        instance: this.#options.self.instance,
        durationMs: LEASE_MS,
      });
      this.#lease.start();
    } else if (!contends && this.#lease !== undefined) {
      const lease = this.#lease;
      this.#lease = undefined;
      this.spawn(lease.stop());
    }
  }

  #periodMs(): number {
    return this.#stored === undefined ? FIRST_STEP_MS : STEP_MS;
  }

  #step(): void {
    this.#steppedAt = performance.now();
    const { planner } = this;
    if (planner !== undefined && planner !== this.#options.self.vm) {
      this.#options.report(planner, this.#options.ownReport());
    }
    if (this.#stepping) {
      return;
    }
    this.#stepping = true;
    this.spawn(
      this.#stepOnce().finally(() => {
        this.#stepping = false;
      }),
    );
  }

  async #stepOnce(): Promise<void> {
    try {
      if (this.planning) {
        await this.#makePlan();
      } else {
        await this.#followPlan();
      }
    } catch (err) {
      if (!(err instanceof TableError)) {
        throw err;
      }
      await this.#renewByPeers();
    }
  }

  /** Readers look into the table; the others do so when they hear nothing. */
  async #followPlan(): Promise<void> {
    const ageMs = performance.now() - this.#renewedAt;
    const stale = ageMs > (this.#stored?.plan.ttlMs ?? 0) / 3;
    if (stale || this.#tree.isReader()) {
      await this.#readPlan();
    }
  }

  async #readPlan(): Promise<void> {
    const startedAt = performance.now();
    const [row] = await this.#options.table.read([PLAN_KEY]);
    const stored = row!.value as unknown as StoredPlan | null;
    if (stored === null) {
      return;
    }
    if (stored.plan.sequence === this.#stored?.plan.sequence) {
      this.#renew(startedAt);
    } else {
      this.#originate(stored);
    }
  }

  /**
   * While the table is away, the plan stays in force for a VM as long as most
   * VMs of the plan know no newer one. One peer's word would not do: two VMs
   * cut off from all others, and from the table, would renew each other's plan
   * for ever while a planner on the other side hands their slots out. A planner
   * needs the reports of most VMs as well, and two majorities share a VM.
   */
  async #renewByPeers(): Promise<void> {
    const sequence = this.#stored?.plan.sequence;
    if (sequence === undefined) {
      return;
    }
    const askedAt = performance.now();
    const all = this.#electorate();
    const others = all.filter((vm) => vm !== this.#options.self.vm);
    const answers = await Promise.all(
      others.map((vm) => this.#options.askNewest(vm, ASK_MS)),
    );
    const ahead = answers.findIndex((answer = 0) => answer > sequence);
    if (ahead !== -1) {
      this.#options.fetchFrom(others[ahead]!);
      return;
    }
    const agreeing = answers.filter((answer) => answer === sequence).length;
    const self = all.length - others.length;
    if (isMajority(agreeing + self, all.length)) {
      this.#renew(askedAt);
    }
  }

  /** VMs of the plan that the platform still lists. */
  #electorate(): readonly VmId[] {
    const listed = new Set(this.#options.listed());
    const planned = new Set(
      this.#stored?.plan.allotments.map(({ vm }) => vm) ?? [],
    );
    return [...planned].filter((vm) => listed.has(vm));
  }

  /** The plan was the newest at `at`: its time to live starts again from there. */
  #renew(at: number): void {
    const { plan } = this.#stored!;
    const ageMs = performance.now() - at;
    this.#renewedAt = at;
    this.#options.onPlan({ ...plan, ttlMs: Math.max(1, plan.ttlMs - ageMs) });
  }

  async #makePlan(): Promise<void> {
    const inputs = this.#options.inputs();
    if (inputs === undefined) {
      return;
    }
    // The plan before comes from the table, not from memory: another planner
    // may have written since this VM held the lease the last time.
    await this.#readPlan();
    const token = this.#lease?.token;
    if (token === undefined) {
      return;
    }
    const now = performance.now();
    if (!this.#hearsMost(now)) {
      this.#options.log.warn("no new plan: too few VMs report", {});
      return;
    }
    const previous = this.#stored?.plan;
    const plan = nextPlan({
      ...inputs,
      demand: this.#demand(now),
      confirmations: this.#confirmations(now),
      ...(previous === undefined ? {} : { previous }),
      previousAgeMs: now - this.#storedAt,
    });
    const stored: StoredPlan = {
      plan,
      planner: this.#options.self.vm,
      token,
    };
    const result = await this.#lease!.transact([
      { key: PLAN_KEY, value: JSON.parse(JSON.stringify(stored)) },
    ]);
    if (result.kind === "committed") {
      this.#originate(stored);
      return;
    }
    this.#options.log.warn("plan not written", { reason: result.kind });
  }

  /** See {@link PlanTask.#renewByPeers}: without most VMs, none of their slots may move. */
  #hearsMost(now: number): boolean {
    const electorate = this.#electorate();
    const heard = electorate.filter((vm) => {
      const at = this.#reports.get(vm)?.at ?? -Infinity;
      return vm === this.#options.self.vm || now - at < FRESH_MS;
    });
    return electorate.length === 0 ||
      isMajority(heard.length, electorate.length);
  }

  #allReports(now: number): ReadonlyMap<VmId, Reported> {
    const own = { report: this.#options.ownReport(), at: now };
    return new Map([...this.#reports, [this.#options.self.vm, own]]);
  }

  #demand(now: number): readonly MeasuredDemand[] {
    return [...this.#allReports(now)].flatMap(([vm, { report, at }]) =>
      report.demand.map(({ service, slots }) => ({
        vm,
        service,
        slots,
        ageMs: now - at,
      }))
    );
  }

  #confirmations(now: number) {
    return [...this.#allReports(now)].map(([vm, { report, at }]) => ({
      vm,
      sequence: report.sequence,
      ageMs: now - at,
    }));
  }

  #originate(stored: StoredPlan): void {
    this.#adopt(stored);
    const change = {
      from: 0,
      revision: stored.plan.sequence,
      digest: String(stored.token),
      body: JSON.stringify(stored),
    };
    this.#perform(this.#tree.originate(change, performance.now()));
  }

  #perform(effects: readonly DisseminationEffect[]): void {
    for (const effect of effects) {
      switch (effect.kind) {
        case "send":
          this.#options.send(effect.to, effect.message);
          break;
        case "apply":
          this.#adopt(JSON.parse(effect.change.body) as StoredPlan);
          break;
        case "load-snapshot":
          this.#steppedAt = -Infinity;
          break;
      }
    }
  }

  /** A plan that is old already holds for what is left of its time to live only. */
  #learn(stored: StoredPlan, ageMs: number): void {
    const ttlMs = Math.max(1, stored.plan.ttlMs - ageMs);
    this.#adopt({ ...stored, plan: { ...stored.plan, ttlMs } });
  }

  /** Only ever a higher sequence: an old plan must not come back by a slow path. */
  #adopt(stored: StoredPlan): void {
    if (stored.plan.sequence <= (this.#stored?.plan.sequence ?? 0)) {
      return;
    }
    this.#stored = stored;
    this.#storedAt = performance.now();
    this.#renewedAt = this.#storedAt;
    this.#options.onPlan(stored.plan);
  }
}

function isMajority(count: number, all: number): boolean {
  return count * 2 > all;
}
