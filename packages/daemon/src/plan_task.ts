/**
 * The plan: follows the one in force, and makes the next one while this VM
 * holds the planner's lease.
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
  type Ranked,
  type Sender,
  type Table,
  TableError,
  type TermEvent,
  type TermMessage,
  type TermState,
} from "@poplarthread/coordination";
import { type Plan, TERM_MS } from "@poplarthread/decisions";
import type { RegionId, VmId, ZoneId } from "@poplarthread/ids";
import type { Log } from "./log.ts";
import type {
  Known,
  PeerId,
  PlannerReport,
  StoredPlan,
} from "./peers/messages.ts";
import { type PlanInputs, Planning } from "./planning.ts";
import { Task } from "./task.ts";

/** What the task is told. */
export type PlanMessage =
  | { readonly kind: "tick" }
  | { readonly kind: "peer"; readonly message: DisseminationMessage }
  | { readonly kind: "term"; readonly message: TermMessage }
  | { readonly kind: "members"; readonly members: readonly Ranked[] }
  /** What a peer follows, told to a VM that has just started. */
  | { readonly kind: "known"; readonly stored: StoredPlan }
  | {
    readonly kind: "report";
    readonly from: Sender;
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
  readonly send: (to: VmId, message: DisseminationMessage) => void;
  readonly sendTerm: (to: VmId, message: TermMessage) => void;
  /** Asks a VM for the plan it follows; it arrives as `known`. */
  readonly fetchFrom: (vm: VmId) => void;
  /** Asks every other VM that the platform lists; undefined for one that does not answer. */
  readonly askAll: () => Promise<readonly (Known | undefined)[]>;
  /** A plan is known and may be used for `validMs`; 0 where it may not. */
  readonly onPlan: (plan: Plan, validMs: number) => void;
  readonly log: Log;
}

const PLAN_KEY = "plan/current";
const TICK_MS = 100;
/** A VM that follows no plan yet looks for one this often, as it serves nothing without. */
const FIRST_STEP_MS = 250;
/** VMs report, and the planner plans, this often; five reports fit into the time in which demand counts. */
const STEP_MS = 2_000;
/** A VM whose term has this little left looks into the table itself. */
const LOW_TERM_MS = TERM_MS / 2;
/** An unanswered question about the term; above two round trips of 110 ms. */
const TERM_RETRY_MS = 300;
const TERM_TIMES = { termMs: TERM_MS, retryMs: TERM_RETRY_MS };
/** Two renewals may be lost; a planner's death costs at most this and a little. */
const LEASE_MS = 6_000;
/**
 * How long the very first plan waits for VMs that were not heard yet. Made for
 * the planner alone, it would give it every region's slots, which later plans
 * move a tenth at a time.
 */
const FIRST_PLAN_WAIT_MS = 5_000;
/** VMs that contend for the lease; the others would only read the table for nothing. */
const CONTENDERS = 3;

/** Owns the lease and the plan's tree of pushes. */
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
  #steppedAt = -Infinity;
  #stepping = false;
  #members: readonly Ranked[] = [];

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

  /** What this VM tells a peer that has just started. */
  get known(): Pick<Known, "plan"> {
    return this.#stored === undefined ? {} : { plan: this.#stored };
  }

  /** For how long the plan may still be used, in milliseconds; 0 where it may not. */
  get validMs(): number {
    const now = performance.now();
    return isTermValid(this.#term, now) ? this.#term.validUntil - now : 0;
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
    this.#openedAt = performance.now();
    this.#planning = new Planning();
    this.#contend();
    this.sendEvery(TICK_MS, { kind: "tick" });
    this.#step();
  }

  protected override receive(message: PlanMessage): void {
    const now = performance.now();
    switch (message.kind) {
      case "tick":
        this.#perform(this.#tree.tick(now));
        this.#advanceTerm({ kind: "tick" });
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
        this.#adopt(message.stored);
        return;
      case "term":
        this.#advanceTerm({ kind: "message", message: message.message });
        return;
      case "report":
        this.#planning.hear(message.from, message.report, now);
        return;
    }
  }

  /** Hands the lease over, so that the next planner need not wait for it to lapse. */
  protected override async close(): Promise<void> {
    const lease = this.#lease;
    this.#lease = undefined;
    await lease?.stop();
  }

  /** The first VMs by name; all see the same ones, without electing them. */
  #candidates(): readonly VmId[] {
    return this.#members
      .filter((member) => member.state === "joined")
      .map(({ vm }) => vm)
      .sort()
      .slice(0, CONTENDERS);
  }

  #contend(): void {
    const first = this.#candidates();
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
    this.#report();
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

  /**
   * Whoever may become the planner hears of this VM beforehand: a planner takes
   * a VM that never reported for one that can hold nothing.
   */
  #report(): void {
    const listeners = new Set(this.#candidates());
    if (this.planner !== undefined) {
      listeners.add(this.planner);
    }
    listeners.delete(this.#options.self.vm);
    for (const vm of listeners) {
      this.#options.report(vm, this.#options.ownReport());
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
      // Without the table nobody writes a plan, and holders renew each other's terms.
      if (!(err instanceof TableError)) {
        throw err;
      }
      await this.#inherit();
    }
  }

  /**
   * A daemon that was restarted while the table is away is not in the plan, so
   * that its slots would idle until the table is back. It takes the place of its
   * earlier instance if every other VM says that the plan is the newest and that
   * nothing lent by that instance is in use any more.
   */
  async #inherit(): Promise<void> {
    const { vm, instance } = this.#options.self;
    const before = this.#stored?.holders.find((holder) => holder.vm === vm);
    if (before === undefined || before.instance === instance) {
      return;
    }
    const { sequence } = this.#stored!.plan;
    const answers = await this.#options.askAll();
    const isAgreed = answers.every((answer) =>
      answer?.plan?.plan.sequence === sequence &&
      !answer.lenders.includes(before.instance)
    );
    if (isAgreed) {
      this.#advanceTerm({ kind: "inherit", sequence });
    }
  }

  /** Readers look into the table; the others do so when nobody renews their term. */
  async #followPlan(): Promise<void> {
    if (this.validMs < LOW_TERM_MS || this.#tree.isReader()) {
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
    // The plan before comes from the table, not from memory: another planner
    // may have written since this VM held the lease the last time.
    await this.#readPlan();
    const token = this.#lease?.token;
    if (token === undefined) {
      return;
    }
    const askedAt = performance.now();
    this.#planning.hear(
      this.#options.self,
      this.#options.ownReport(),
      askedAt,
    );
    const isEarly = askedAt - this.#openedAt < FIRST_PLAN_WAIT_MS;
    if (
      this.#stored === undefined && isEarly && !this.#planning.knowsAll(inputs)
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
          this.#steppedAt = -Infinity;
          break;
      }
    }
  }

  /** Only ever a higher sequence: an old plan must not come back by a slow path. */
  #adopt(stored: StoredPlan): void {
    const { sequence } = stored.plan;
    if (sequence <= (this.#stored?.plan.sequence ?? 0)) {
      return;
    }
    this.#stored = stored;
    this.#storedAt = performance.now();
    this.#advanceTerm({ kind: "plan", sequence, holders: stored.holders });
    this.#tellPlan();
  }

  #advanceTerm(event: TermEvent): void {
    const before = this.#term;
    const ctx = { now: performance.now(), times: TERM_TIMES };
    const { state, effects } = advanceTerm(before, event, ctx);
    this.#term = state;
    if (state.validUntil > before.validUntil) {
      this.#tellPlan();
    }
    for (const effect of effects) {
      switch (effect.kind) {
        case "send":
          this.#options.sendTerm(effect.to, effect.message);
          break;
        case "outdated":
          this.#options.fetchFrom(effect.vm);
          break;
      }
    }
  }

  #tellPlan(): void {
    if (this.#stored !== undefined) {
      this.#options.onPlan(this.#stored.plan, this.validMs);
    }
  }
}
