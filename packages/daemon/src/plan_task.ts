/**
 * Follows the plan in force, and makes the next one while this VM holds the
 * planner's lease.
 *
 * @module
 */

import {
  advanceTerm,
  Dissemination,
  type DisseminationEffect,
  type DisseminationMessage,
  isTermValid,
  Lease,
  newTerm,
  type RankedMember,
  type Sender,
  type Table,
  TableError,
  type TermEvent,
  type TermMessage,
  type TermState,
} from "@poplarthread/coordination";
import { MAX_PLAN_TERM_MS, type Plan } from "@poplarthread/decisions";
import type { RegionId, VmId, ZoneId } from "@poplarthread/ids";
import type { Log } from "./log.ts";
import type {
  KnownState,
  PeerId,
  PlannerReport,
  StoredPlan,
} from "./peers/messages.ts";
import { type PlanInputs, Planning } from "./planning.ts";
import { Task } from "./task.ts";

/** Messages of the task. */
export type PlanMessage =
  | { readonly kind: "tick" }
  | { readonly kind: "peer"; readonly message: DisseminationMessage }
  | { readonly kind: "term"; readonly message: TermMessage }
  | { readonly kind: "members"; readonly members: readonly RankedMember[] }
  /** The plan that a peer follows, received in response to a query. */
  | { readonly kind: "known"; readonly stored: StoredPlan }
  | {
    readonly kind: "report";
    readonly from: Sender;
    readonly report: PlannerReport;
  };

/** Options of {@link PlanTask}. */
export interface PlanTaskOptions {
  readonly self: PeerId & { readonly zone: ZoneId; readonly region: RegionId };
  readonly table: Table;
  /** Undefined while no configuration is in force on this VM or the fleet is unknown. */
  readonly inputs: () => PlanInputs | undefined;
  /** The report of this VM to the planner. */
  readonly localReport: () => PlannerReport;
  readonly report: (to: VmId, report: PlannerReport) => void;
  readonly send: (to: VmId, message: DisseminationMessage) => void;
  readonly sendTerm: (to: VmId, message: TermMessage) => void;
  /** Requests the plan that a VM follows; the plan arrives as a `known` message. */
  readonly fetchPlanFrom: (vm: VmId) => void;
  /** Queries every other VM that the platform lists; undefined for each that does not respond. */
  readonly queryAll: () => Promise<readonly (KnownState | undefined)[]>;
  /** Called with a plan that may be used for `validMs`, or not at all if that is 0. */
  readonly onPlan: (plan: Plan, validMs: number) => void;
  readonly log: Log;
}

const PLAN_KEY = "plan/current";
const TICK_MS = 100;
/** Step interval of a VM without a plan, short since it serves no requests without one. */
const INITIAL_STEP_INTERVAL_MS = 250;
/** Interval at which VMs report and the planner plans; five reports fit into the time for which reported demand counts. */
const STEP_INTERVAL_MS = 2_000;
/** A VM whose term ends sooner than this reads the table itself. */
const TERM_CHECK_THRESHOLD_MS = MAX_PLAN_TERM_MS / 2;
/** Retry interval of an unanswered term request; above two round trips of 110 ms. */
const TERM_RETRY_MS = 300;
const TERM_TIMING = { termMs: MAX_PLAN_TERM_MS, retryMs: TERM_RETRY_MS };
/** Outlasts two lost renewals; the crash of a planner delays planning by little more than this. */
const LEASE_DURATION_MS = 6_000;
/**
 * How long the first plan waits for VMs that have not reported. A plan made for
 * the planner's VM alone would allot it the slots of every region, and later plans
 * move only a tenth of them at a time.
 */
const MAX_FIRST_PLAN_WAIT_MS = 5_000;
/** Only this many VMs compete for the lease, which saves table reads of the others. */
const MAX_LEASE_CANDIDATES = 3;

/** Owns the planner's lease and the tree that disseminates the plan. */
export class PlanTask extends Task<PlanMessage> {
  readonly #options: PlanTaskOptions;
  #planning = new Planning();
  #term: TermState;
  #lease: Lease | undefined;
  #tree: Dissemination;
  #stored: StoredPlan | undefined;
  /** When this VM wrote or first read the plan. */
  #storedAt = 0;
  #openedAt = 0;
  #lastStepAt = -Infinity;
  #isStepping = false;
  #members: readonly RankedMember[] = [];

  constructor(options: PlanTaskOptions) {
    super("plan");
    this.#options = options;
    this.#tree = new Dissemination({ self: options.self });
    const { vm, instance } = options.self;
    this.#term = newTerm({ vm, instance });
  }

  get plan(): Plan | undefined {
    return this.#stored?.plan;
  }

  /** The plan that this VM sends to a peer that queries it. */
  get known(): Pick<KnownState, "plan"> {
    return this.#stored === undefined ? {} : { plan: this.#stored };
  }

  /** Remaining time for which the plan may be used; 0 if it may not be used. */
  get validMs(): number {
    const now = performance.now();
    return isTermValid(this.#term, now) ? this.#term.validUntil - now : 0;
  }

  get planner(): VmId | undefined {
    return this.#stored?.planner;
  }

  /** Whether this VM believes that it holds the planner's lease. */
  get planning(): boolean {
    return this.#lease?.token !== undefined;
  }

  protected override open(): void {
    this.#isStepping = false;
    this.#openedAt = performance.now();
    this.#planning = new Planning();
    this.#updateCandidacy();
    this.sendEvery(TICK_MS, { kind: "tick" });
    this.#step();
  }

  protected override receive(message: PlanMessage): void {
    const now = performance.now();
    switch (message.kind) {
      case "tick":
        this.#perform(this.#tree.tick(now));
        this.#advanceTerm({ kind: "tick" });
        if (now - this.#lastStepAt >= this.#stepIntervalMs()) {
          this.#step();
        }
        return;
      case "peer":
        this.#perform(this.#tree.receive(message.message, now));
        return;
      case "members":
        this.#tree.setMembers(message.members);
        this.#members = message.members;
        this.#updateCandidacy();
        return;
      case "known":
        this.#adopt(message.stored);
        return;
      case "term":
        this.#advanceTerm({ kind: "message", message: message.message });
        return;
      case "report":
        this.#planning.addReport(message.from, message.report, now);
        return;
    }
  }

  /** Releases the lease, so that the next planner does not wait for it to expire. */
  protected override async close(): Promise<void> {
    const lease = this.#lease;
    this.#lease = undefined;
    await lease?.stop();
  }

  /** The first members by name, so that all VMs agree on them without an election. */
  #leaseCandidates(): readonly VmId[] {
    return this.#members
      .filter((member) => member.state === "joined")
      .map(({ vm }) => vm)
      .sort()
      .slice(0, MAX_LEASE_CANDIDATES);
  }

  #updateCandidacy(): void {
    const candidates = this.#leaseCandidates();
    const isCandidate = candidates.includes(this.#options.self.vm);
    if (isCandidate && this.#lease === undefined) {
      this.#lease = new Lease(this.#options.table, {
        name: "planner",
        instance: this.#options.self.instance,
        durationMs: LEASE_DURATION_MS,
      });
      this.#lease.start();
    } else if (!isCandidate && this.#lease !== undefined) {
      const lease = this.#lease;
      this.#lease = undefined;
      this.spawn(lease.stop());
    }
  }

  #stepIntervalMs(): number {
    return this.#stored === undefined
      ? INITIAL_STEP_INTERVAL_MS
      : STEP_INTERVAL_MS;
  }

  #step(): void {
    this.#lastStepAt = performance.now();
    this.#sendReports();
    if (this.#isStepping) {
      return;
    }
    this.#isStepping = true;
    this.spawn(
      this.#stepOnce().finally(() => {
        this.#isStepping = false;
      }),
    );
  }

  /**
   * Reports to all lease candidates as well as the planner, since a new planner
   * allots no slots to a VM that has never reported to it.
   */
  #sendReports(): void {
    const recipients = new Set(this.#leaseCandidates());
    if (this.planner !== undefined) {
      recipients.add(this.planner);
    }
    recipients.delete(this.#options.self.vm);
    for (const vm of recipients) {
      this.#options.report(vm, this.#options.localReport());
    }
  }

  async #stepOnce(): Promise<void> {
    try {
      if (this.planning) {
        await this.#makePlan();
      } else {
        await this.#followPlan();
      }
    } catch (err) {
      // While the table is unavailable no plan can be written, and the holders renew
      // each other's terms.
      if (!(err instanceof TableError)) {
        throw err;
      }
      await this.#inheritPlan();
    }
  }

  /**
   * A daemon that restarts while the table is unavailable is not in the plan, and
   * its slots would stay idle until the table is available again. It takes the place
   * of its earlier instance if every other VM confirms that the plan is the newest
   * and that it uses no slots lent by that instance.
   */
  async #inheritPlan(): Promise<void> {
    const { vm, instance } = this.#options.self;
    const earlierHolder = this.#stored?.holders.find((holder) =>
      holder.vm === vm
    );
    if (earlierHolder === undefined || earlierHolder.instance === instance) {
      return;
    }
    const { sequence } = this.#stored!.plan;
    const responses = await this.#options.queryAll();
    const allAgree = responses.every((response) =>
      response?.plan?.plan.sequence === sequence &&
      !response.lenders.includes(earlierHolder.instance)
    );
    if (allAgree) {
      this.#advanceTerm({ kind: "inherit", sequence });
    }
  }

  /** Readers read the table; the other VMs do so only when their term is not renewed. */
  async #followPlan(): Promise<void> {
    if (this.validMs < TERM_CHECK_THRESHOLD_MS || this.#tree.isReader()) {
      await this.#readPlan();
    }
  }

  async #readPlan(): Promise<void> {
    const askedAt = performance.now();
    const [row] = await this.#options.table.read([PLAN_KEY]);
    const stored = row!.value as unknown as StoredPlan | null;
    if (stored === null) {
      return;
    }
    if (stored.plan.sequence > (this.#stored?.plan.sequence ?? 0)) {
      this.#originate(stored);
    }
    const { sequence } = stored.plan;
    this.#advanceTerm({ kind: "read", sequence, askedAt });
  }

  async #makePlan(): Promise<void> {
    const inputs = this.#options.inputs();
    if (inputs === undefined) {
      return;
    }
    // Reads the previous plan from the table, not from memory: another planner may
    // have written one since this VM last held the lease.
    await this.#readPlan();
    const token = this.#lease?.token;
    if (token === undefined) {
      return;
    }
    const askedAt = performance.now();
    this.#planning.addReport(
      this.#options.self,
      this.#options.localReport(),
      askedAt,
    );
    const isEarly = askedAt - this.#openedAt < MAX_FIRST_PLAN_WAIT_MS;
    if (
      this.#stored === undefined && isEarly &&
      !this.#planning.hasAllInstances(inputs)
    ) {
      return;
    }
    const planned = this.#planning.next(inputs, this.#stored, {
      now: askedAt,
      previousAgeMs: askedAt - this.#storedAt,
    });
    const planner = this.#options.self.vm;
    const stored: StoredPlan = { ...planned, planner, token };
    const result = await this.#lease!.transact([
      { key: PLAN_KEY, value: JSON.parse(JSON.stringify(stored)) },
    ]);
    if (result.kind === "committed") {
      this.#originate(stored);
      const { sequence } = stored.plan;
      this.#advanceTerm({ kind: "read", sequence, askedAt });
      return;
    }
    this.#options.log.warn("plan not written", { reason: result.kind });
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
          this.#lastStepAt = -Infinity;
          break;
      }
    }
  }

  /** Accepts only a higher sequence, so that a delayed message cannot restore an old plan. */
  #adopt(stored: StoredPlan): void {
    const { sequence } = stored.plan;
    if (sequence <= (this.#stored?.plan.sequence ?? 0)) {
      return;
    }
    this.#stored = stored;
    this.#storedAt = performance.now();
    this.#advanceTerm({ kind: "plan", sequence, holders: stored.holders });
    this.#notifyPlan();
  }

  #advanceTerm(event: TermEvent): void {
    const before = this.#term;
    const ctx = { now: performance.now(), times: TERM_TIMING };
    const { state, effects } = advanceTerm(before, event, ctx);
    this.#term = state;
    if (state.validUntil > before.validUntil) {
      this.#notifyPlan();
    }
    for (const effect of effects) {
      switch (effect.kind) {
        case "send":
          this.#options.sendTerm(effect.to, effect.message);
          break;
        case "outdated":
          this.#options.fetchPlanFrom(effect.vm);
          break;
      }
    }
  }

  #notifyPlan(): void {
    if (this.#stored !== undefined) {
      this.#options.onPlan(this.#stored.plan, this.validMs);
    }
  }
}
