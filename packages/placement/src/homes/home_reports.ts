/**
 * A VM's regular reports to the owner: what callers asked for, what was observed of
 * targets, and after a change of owners the homes that the VM knew before.
 *
 * @module
 */

import { DemandLog } from "./demand_log.ts";
import type { FollowedTerm } from "./home_protocol.ts";
import type { DemandReport, ObjectDemand } from "./messages.ts";
import { splitReport } from "./split_messages.ts";

/** Interval of reports. */
const REPORT_MS = 1_000;
/** Reports that list the homes known before a new term; one may be lost. */
const FULL_REPORTS = 2;

/** What the VM knows at the time of a report. */
export interface ReportContext {
  readonly followed: FollowedTerm;
  homesOf(object: number): readonly number[];
}

/** See the module comment. Times are milliseconds of the monotonic clock. */
export class HomeReports {
  /** What callers asked for since the last report. */
  readonly demand = new DemandLog();
  #earlier: readonly ObjectDemand[] = [];
  #fullReports = 0;
  #number = 0;
  #reportedAt: number | undefined;

  /** Lists homes known before a new term in the next reports, the first one at once. */
  startFull(earlier: readonly ObjectDemand[]): void {
    this.#earlier = earlier;
    this.#fullReports = FULL_REPORTS;
  }

  /** The report that is due, if any, in parts that fit into a datagram each. */
  take(now: number, context: ReportContext): readonly DemandReport[] {
    const spanMs = now - (this.#reportedAt ?? now - REPORT_MS);
    const isFull = this.#fullReports > 0;
    if (spanMs < REPORT_MS && this.#fullReports < FULL_REPORTS) {
      return [];
    }
    this.#reportedAt = now;
    this.#fullReports = Math.max(0, this.#fullReports - 1);
    const counted = this.demand.take((object) => context.homesOf(object));
    const objects = isFull
      ? withEarlier(counted.objects, this.#earlier)
      : counted.objects;
    const { term, sequence } = context.followed;
    return splitReport({ ...counted, objects }).map((part) => {
      this.#number += 1;
      return {
        ...part,
        number: this.#number,
        spanMs,
        term,
        sequence,
        namesEarlierHomes: isFull,
      };
    });
  }
}

/** Adds homes that were known earlier to the objects of a report. */
function withEarlier(
  objects: readonly ObjectDemand[],
  earlier: readonly ObjectDemand[],
): readonly ObjectDemand[] {
  const byObject = new Map(objects.map((demand) => [demand.object, demand]));
  for (const known of earlier) {
    const demand = byObject.get(known.object);
    byObject.set(
      known.object,
      demand === undefined ? known : { ...demand, targets: known.targets },
    );
  }
  return [...byObject.values()];
}
