/**
 * Writes what is found out about requests that may crash targets to the log and the
 * metrics.
 *
 * @module
 */

import type { CrashFinding } from "./crash_suspects.ts";
import type { EventLog } from "./events.ts";

/** Options of {@link CrashFindings}. */
export interface CrashFindingsOptions {
  readonly log: EventLog;
  /** Counts a finding under a name. */
  count(change: string): void;
  /** Number of other VMs that may be running and that this one does not hear of. */
  silentVms(): number;
}

/** See the module comment. */
export class CrashFindings {
  readonly #options: CrashFindingsOptions;

  constructor(options: CrashFindingsOptions) {
    this.#options = options;
  }

  /** Logs and counts one finding. */
  record(finding: CrashFinding): void {
    const { log, count, silentVms } = this.#options;
    count(`crash-${finding.kind}`);
    switch (finding.kind) {
      case "counted":
        log.write("crash counted", {
          ...finding.crash,
          crashes: finding.crashes,
          silentVms: silentVms(),
        });
        return;
      case "reported":
        log.write("crash reported", {
          ...finding.crash,
          crashes: finding.crashes,
        });
        return;
      case "uncounted":
        log.write("crash not counted", {
          ...finding.crash,
          reason: finding.reason,
        });
        return;
      case "held-back":
        log.write("request held back", {
          digest: finding.digest,
          forMs: Math.round(finding.forMs),
          crashes: finding.crashes,
        });
        return;
      case "without-room":
        log.write("crash reports without room", { suspects: finding.suspects });
        return;
    }
  }
}
