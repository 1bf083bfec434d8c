/**
 * Probes the targets that were taken out of use, and returns the healthy ones to use.
 *
 * @module
 */

import type { TargetId } from "@poplarthread/ids";
import type { ReachCheck } from "@poplarthread/placement";
import {
  isRefusedConnection,
  messageOf,
  ProbeTimeoutError,
} from "../errors.ts";
import type { ConnectionTarget } from "./connection.ts";
import type { EventLog } from "./events.ts";
import { HealthProber, type HealthProberOptions } from "./health_prober.ts";
import type { HealthResponse, RegisteredTarget } from "./ports.ts";
import type { RequestPath } from "./request_path.ts";
import { runOf } from "./target_directory.ts";

/** Checks of runs that are open at once; with more, a network fault is likelier than as many crashes. */
const MAX_RUN_CHECKS = 8;

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
  /** Targets whose run is being checked. */
  readonly #runChecks = new Set<TargetId>();

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
    this.#probe(target, healthPath).then(
      (health) => {
        if (health.isHealthy && isSameTarget(health, id)) {
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

  /** Checks whether the run of a target still exists on which an attempt broke. */
  checkRun(id: TargetId): void {
    const { log, path } = this.#options;
    const { targets } = path();
    const target = targets.get(id);
    const healthPath = targets.serviceOf(id)?.healthPath;
    if (
      target === undefined || healthPath === undefined ||
      targets.isLeaving(id) || this.#runChecks.has(id) ||
      this.#runChecks.size >= MAX_RUN_CHECKS
    ) {
      return;
    }
    this.#runChecks.add(id);
    this.#probe(target, healthPath)
      .catch((err) =>
        log.write("probe failed", { target: id, reason: messageOf(err) })
      )
      .finally(() => this.#runChecks.delete(id));
  }

  /** Probes a target on a new connection, and tells the suspects what that says about its run. */
  async #probe(
    target: RegisteredTarget,
    healthPath: string,
  ): Promise<HealthResponse> {
    const { path, isLoopDelayed } = this.#options;
    const { id, address, isLeaving } = target;
    const { steering, suspects } = path();
    const run = runOf(target);
    const roundTripMs = steering.roundTripTo(id);
    const sentAt = performance.now();
    try {
      const health = await this.#prober
        .probe({ id, address, roundTripMs }, healthPath);
      if (isSameTarget(health, id)) {
        suspects.runResponded(run, sentAt);
      } else {
        suspects.runEnded(run, "gone", performance.now());
      }
      return health;
    } catch (err) {
      if (isRefusedConnection(err) && !isLeaving) {
        suspects.runRefused(run, performance.now());
      } else if (!isLoopDelayed()) {
        suspects.runUnresponsive(run);
      }
      throw err;
    }
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
    this.#probe(target, healthPath).then(
      () => steering.reachChecked("responded"),
      (err) => {
        log.write("probe failed", { target: id, reason: messageOf(err) });
        steering.reachChecked(isLoopDelayed() ? "unknown" : reachCheckOf(err));
      },
    );
  }
}

/** Whether a response comes from the target that was asked: its address may be another's now. */
function isSameTarget({ target }: HealthResponse, id: TargetId): boolean {
  return target === undefined || target === id;
}

function reachCheckOf(err: unknown): ReachCheck {
  return err instanceof ProbeTimeoutError ? "timed-out" : "failed";
}
