/**
 * Log lines about homes: who owns those of a service, what it has assigned, and
 * whether owners answer.
 *
 * @module
 */

import type { ServiceId } from "@poplarthread/ids";
import type { HomeAgent, OwnerTerm } from "@poplarthread/placement";
import type { EventLog } from "../events.ts";

/** Minimum time between two summaries, and between two lines about missing answers. */
const INTERVAL_MS = 10_000;

/** Dependencies of {@link HomeLog}. */
export interface HomeLogOptions {
  readonly log: EventLog;
  readonly agent: Pick<HomeAgent, "counts" | "owned">;
  /** Number of VMs of the region that are up. */
  vmsInRegion(): number;
}

/** See the module comment. Times are milliseconds of the monotonic clock. */
export class HomeLog {
  readonly #options: HomeLogOptions;
  /** Terms in which this VM owns homes, with the moves logged so far. */
  readonly #terms = new Map<ServiceId, { term: OwnerTerm; moved: number }>();
  #summaryDueAt = -Infinity;
  #unansweredDueAt = -Infinity;
  #unanswered = 0;

  constructor(options: HomeLogOptions) {
    this.#options = options;
  }

  /** This VM has become the owner of a service's homes for `term`, or has stopped being it. */
  ownershipChanged(service: ServiceId, term: OwnerTerm | undefined): void {
    const { log, vmsInRegion } = this.#options;
    const vms = vmsInRegion();
    if (term !== undefined) {
      this.#terms.set(service, { term, moved: 0 });
      log.write("homes owned", { service, term, vms });
      return;
    }
    const ended = this.#terms.get(service);
    this.#terms.delete(service);
    log.write("homes not owned", { service, term: ended?.term ?? "", vms });
  }

  /** Writes the lines that are due. */
  write(now: number): void {
    const { agent, log } = this.#options;
    if (now >= this.#summaryDueAt) {
      this.#summaryDueAt = now + INTERVAL_MS;
      this.#summarize();
    }
    const queries = agent.counts.unanswered - this.#unanswered;
    if (queries > 0 && now >= this.#unansweredDueAt) {
      this.#unansweredDueAt = now + INTERVAL_MS;
      this.#unanswered = agent.counts.unanswered;
      log.write("homes unanswered", { queries });
    }
  }

  #summarize(): void {
    const { agent, log } = this.#options;
    for (const owned of agent.owned()) {
      const { service, term, objects, homes, peakLoad, moved } = owned;
      const movedBefore = this.#terms.get(service)?.moved ?? 0;
      this.#terms.set(service, { term, moved });
      log.write("homes assigned", {
        service,
        term,
        objects,
        homes,
        secondHomes: homes - objects,
        moved: moved - movedBefore,
        peakLoad: Math.round(peakLoad * 100) / 100,
      });
    }
  }
}
