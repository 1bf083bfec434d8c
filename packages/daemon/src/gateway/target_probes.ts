/**
 * Probes the targets that were taken out of use, and returns the healthy ones to use.
 *
 * @module
 */

import type { TargetId } from "@poplarthread/ids";
import type { ReachCheck } from "@poplarthread/placement";
import { messageOf, ProbeTimeoutError } from "../errors.ts";
import type { ConnectionTarget } from "./connections.ts";
import type { EventLog } from "./events.ts";
import { HealthProber, type HealthProberOptions } from "./health_prober.ts";
import type { RequestPath } from "./request_path.ts";

/** Dependencies of {@link TargetProbes}. */
export interface TargetProbesOptions extends HealthProberOptions {
  readonly log: EventLog;
  path(): RequestPath;
  /** Whether the event loop is delayed, so that timeouts prove nothing. */
  isLoopDelayed(): boolean;
}

/** See the module comment. */
export class TargetProbes {
  readonly #options: TargetProbesOptions;
  readonly #prober: HealthProber;

  constructor(options: TargetProbesOptions) {
    this.#options = options;
    this.#prober = new HealthProber(options);
  }

  /** Keeps a connection to a target open. */
  refresh({ id, address, roundTripMs }: ConnectionTarget): void {
    const { log, path } = this.#options;
    const healthPath = path().targets.serviceOf(id)?.healthPath;
    if (healthPath === undefined) {
      return;
    }
    this.#prober.refresh({ id, address, roundTripMs }, healthPath).catch(
      (err) =>
        log.write("probe failed", { target: id, reason: messageOf(err) }),
    );
  }

  /** Starts a probe of one target. */
  probe(id: TargetId): void {
    const { isLoopDelayed, log, path } = this.#options;
    const { steering, targets } = path();
    const target = targets.get(id);
    const healthPath = targets.serviceOf(id)?.healthPath;
    if (target === undefined || healthPath === undefined) {
      return;
    }
    const { address } = target;
    const roundTripMs = steering.roundTripTo(id);
    this.#prober.probe({ id, address, roundTripMs }, healthPath).then(
      (health) => {
        const isSameTarget = health.target === undefined ||
          health.target === id;
        if (health.isHealthy && isSameTarget) {
          // The target may have restarted since; its entry in the store shows that only later.
          const coldMs = health.coldMs;
          steering.probeSucceeded(id, { now: performance.now(), coldMs });
          log.write("target answers again", { target: id });
        }
      },
      (err) => {
        log.write("probe failed", { target: id, reason: messageOf(err) });
        if (!isLoopDelayed()) {
          steering.probeFailed(id, performance.now());
        }
      },
    );
  }

  /** Checks whether a target responds on a new connection, whatever it responds. */
  checkReach(id: TargetId): void {
    const { isLoopDelayed, log, path } = this.#options;
    const { steering, targets } = path();
    const target = targets.get(id);
    const healthPath = targets.serviceOf(id)?.healthPath;
    if (target === undefined || healthPath === undefined) {
      steering.reachChecked("unknown");
      return;
    }
    const { address } = target;
    const roundTripMs = steering.roundTripTo(id);
    this.#prober.probe({ id, address, roundTripMs }, healthPath).then(
      () => steering.reachChecked("responded"),
      (err) => {
        log.write("probe failed", { target: id, reason: messageOf(err) });
        steering.reachChecked(isLoopDelayed() ? "unknown" : reachCheckOf(err));
      },
    );
  }
}

function reachCheckOf(err: unknown): ReachCheck {
  return err instanceof ProbeTimeoutError ? "timed-out" : "failed";
}
