/**
 * Room of a service as one VM sees it from the queues that targets report.
 *
 * Work takes longer than planned where objects are not cached, and the owner of the
 * homes may be unreachable. Queues at targets then grow although the plan has room,
 * until every request is late. So each VM also lowers what it admits while the
 * reported queues are longer than the slack of urgent requests. All VMs see about
 * the same queues, and come to about the same share.
 *
 * @module
 */

import type { RoomShare } from "../homes/messages.ts";
import type { LoadReport } from "../target_load.ts";
import { WindowCount } from "../window_count.ts";
import { divideRoom, ReturnPlanner } from "./room_shares.ts";

/** Interval of the adjustments: about the time until one shows in reports. */
const ADJUST_MS = 500;
/** Window in which arrivals and refusals are counted. */
const WINDOW_MS = 2_000;
/**
 * Queue at targets, as a multiple of the slack of the most urgent requests, above
 * which less is admitted, and below which more. The mean exceeds what most requests
 * meet, since popular objects have their homes at targets with longer queues.
 */
const MAX_QUEUED_SLACK = 1.5;
const FEW_QUEUED_SLACK = 1;
/**
 * Slack in runs until it is known, and the least one: queues are shorter only at a
 * small part of the capacity.
 */
const DEFAULT_SLACK_RUNS = 1;
const MIN_SLACK_RUNS = 0.8;
/** Time after which a priority without requests doesn't determine the slack. */
const SLACK_TTL_MS = 5_000;
/** Reports from which their mean is meaningful. */
const MIN_REPORTS = 3;
/** Time without a report after which nothing is known of the queues. */
const REPORT_TTL_MS = 5_000;
/** Factors of one adjustment. */
const MAX_DECREASE = 0.5;
const INCREASE = 1.3;
/** Smallest share of the requests that is admitted. */
const MIN_SHARE = 0.1;

/** Arrivals and refusals of one priority. */
interface Counts {
  readonly arrived: WindowCount;
  refused: number;
}

/** See the module comment. Times are milliseconds of the monotonic clock. */
export class LocalRoom {
  readonly #priorities = new Map<number, Counts>();
  readonly #returns = new ReturnPlanner();
  /** Share of all arrivals that is admitted. */
  #admitted = 1;
  #queuedRuns = 0;
  #reports = 0;
  #reportedAt = -Infinity;
  /** Slack of the most urgent priority in use. */
  #slack = { priority: Infinity, runs: DEFAULT_SLACK_RUNS, at: -Infinity };
  #adjustedAt: number | undefined;
  /** When the queues were last judged. */
  #judgedAt = -Infinity;
  #shares: readonly RoomShare[] = [];

  /** Records the arrival of a request. */
  arrived(priority: number, now: number): void {
    this.#countsOf(priority).arrived.add(now);
  }

  /** Records that a request was refused. */
  refused(priority: number): void {
    this.#countsOf(priority).refused += 1;
  }

  /** Records how long a new request may wait and be in time, in runs. */
  offered(priority: number, slackRuns: number, now: number): void {
    const isObsolete = now - this.#slack.at > SLACK_TTL_MS;
    if (priority <= this.#slack.priority || isObsolete) {
      this.#slack = { priority, runs: Math.max(0, slackRuns), at: now };
    }
  }

  /** Records a target's report of its load. */
  reported({ waiting, slots }: LoadReport, now: number): void {
    this.#reportedAt = now;
    this.#queuedRuns += waiting / Math.max(1, slots);
    this.#reports += 1;
  }

  /** The shares in force; none if there is room for all. */
  shares(now: number): readonly RoomShare[] {
    this.#adjustedAt ??= now;
    const spanMs = now - this.#adjustedAt;
    if (spanMs >= ADJUST_MS) {
      this.#adjustedAt = now;
      this.#adjust(now);
      this.#shares = this.#plan(spanMs, now);
    }
    return this.#shares;
  }

  #adjust(now: number): void {
    if (now - this.#reportedAt > REPORT_TTL_MS) {
      this.#admitted = 1;
      this.#clearReports();
    }
    if (this.#reports < MIN_REPORTS) {
      return;
    }
    const queuedRuns = this.#queuedRuns / this.#reports;
    const slackRuns = Math.max(MIN_SLACK_RUNS, this.#slack.runs);
    const steps = Math.max(1, Math.floor((now - this.#judgedAt) / ADJUST_MS));
    this.#judgedAt = now;
    this.#clearReports();
    if (queuedRuns > MAX_QUEUED_SLACK * slackRuns) {
      const factor = MAX_QUEUED_SLACK * slackRuns / queuedRuns;
      this.#admitted *= Math.max(MAX_DECREASE, factor);
      this.#admitted = Math.max(MIN_SHARE, this.#admitted);
    } else if (queuedRuns < FEW_QUEUED_SLACK * slackRuns) {
      // A VM with few requests gets reports for an adjustment less often.
      this.#admitted = Math.min(1, this.#admitted * INCREASE ** steps);
    }
  }

  #clearReports(): void {
    this.#queuedRuns = 0;
    this.#reports = 0;
  }

  #plan(spanMs: number, now: number): readonly RoomShare[] {
    const offers = [...this.#priorities].map(([priority, counts]) => {
      const perSecond = counts.arrived.sum(now) * 1_000 / WINDOW_MS;
      const refusedPerSecond = counts.refused * 1_000 / spanMs;
      counts.refused = 0;
      return { priority, perSecond, refusedPerSecond, workMs: 1_000 };
    });
    this.#returns.advance(spanMs);
    if (this.#admitted === 1) {
      return [];
    }
    const arrivals = offers.reduce((sum, one) => sum + one.perSecond, 0);
    const capacitySlots = this.#admitted * arrivals;
    return this.#returns.plan(divideRoom({ offers, capacitySlots }), spanMs);
  }

  #countsOf(priority: number): Counts {
    let counts = this.#priorities.get(priority);
    if (counts === undefined) {
      counts = { arrived: new WindowCount(WINDOW_MS), refused: 0 };
      this.#priorities.set(priority, counts);
    }
    return counts;
  }
}

/** The tighter of two plans for each priority. */
export function tighterShares(
  a: readonly RoomShare[],
  b: readonly RoomShare[],
): readonly RoomShare[] {
  if (a.length === 0 || b.length === 0) {
    return a.length === 0 ? b : a;
  }
  const priorities = new Set([...a, ...b].map(({ priority }) => priority));
  return [...priorities].map((priority) => {
    const both = [...a, ...b].filter((one) => one.priority === priority);
    return {
      priority,
      admitted: Math.min(...both.map((one) => one.admitted)),
      returnMs: Math.max(...both.map((one) => one.returnMs)),
    };
  });
}
