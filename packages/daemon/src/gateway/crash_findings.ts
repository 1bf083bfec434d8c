/**
 * Writes what is found out about requests that may crash targets to the log and the
 * metrics.
 *
 * @module
 */

import type { CrashFinding } from "./crash_suspects.ts";
import type { EventLog } from "./events.ts";

/** See the module comment. */
export class CrashFindings {
  readonly #log: EventLog;
  readonly #count: (change: string) => void;

  /** `count` counts a finding under a name. */
  constructor(log: EventLog, count: (change: string) => void) {
    this.#log = log;
    this.#count = count;
  }

  /** Logs and counts one finding. */
  record(finding: CrashFinding): void {
    this.#count(`crash-${finding.kind}`);
    switch (finding.kind) {
      case "counted":
        this.#log.write("crash counted", finding.crash);
        return;
      case "reported":
        this.#log.write("crash reported", finding.crash);
        return;
      case "uncounted":
        this.#log.write("crash not counted", {
          ...finding.crash,
          reason: finding.reason,
        });
        return;
      case "held-back":
        this.#log.write("request held back", {
          digest: finding.digest,
          forMs: Math.round(finding.forMs),
        });
        return;
    }
  }
}
