/**
 * An upper bound to compare the gateway with: sends each request to the target that
 * would respond first, given the current queue and cached objects of every target.
 * No real VM can know these.
 *
 * @module
 */

import type { ServiceId, TargetId } from "@poplarthread/ids";
import {
  hashText,
  type PlacementDecision,
  type PlacementRequest,
  Steering,
  type SteeringOptions,
} from "@poplarthread/placement";
import type { EmulatedTarget, Job } from "./emulated_target.ts";
import type { EmulatedRequest } from "./emulated_vm.ts";
import type { RequestKind, Scenario } from "./scenario.ts";

/** What the oracle can look up for a request. */
export interface OracleView {
  /** Targets that the request may be sent to. */
  targets(request: PlacementRequest): readonly EmulatedTarget[];
  /** When the target's response would arrive, in milliseconds of virtual time. */
  responseAt(target: EmulatedTarget, request: PlacementRequest): number;
}

/** A job with the mean work of its kind of request. */
type MeanJob = Pick<Job, "object" | "workMs" | "warmGain">;

/** Expected job of a request, by the hash of its object. */
export class ExpectedJobs {
  readonly #scenario: Scenario;
  readonly #jobs = new Map<number, MeanJob>();

  constructor(scenario: Scenario) {
    this.#scenario = scenario;
  }

  /** Records the expected job of a request. */
  record({ object, route }: EmulatedRequest, kind: RequestKind): void {
    if (object !== undefined) {
      const { workMs, warmGain } = kind;
      const hash = hashText(`${route.host}${route.prefix}${object}`);
      this.#jobs.set(hash, { object, workMs, warmGain });
    }
  }

  /**
   * The expected job of a request for an object; if the object is unknown, that of the
   * service's first kind of request.
   */
  jobFor(hash: number | undefined, service: ServiceId): MeanJob {
    const known = hash === undefined ? undefined : this.#jobs.get(hash);
    if (known !== undefined) {
      return known;
    }
    const { workMs } = this.#scenario.kinds.find(({ services }) =>
      service in services
    )!;
    return { object: undefined, workMs, warmGain: 0 };
  }
}

/** Retry-After of a refusal. */
const RETRY_AFTER_MS = 200;

/** Places requests as the module's comment says. */
export class OracleSteering extends Steering {
  readonly #view: OracleView;

  constructor(options: SteeringOptions, view: OracleView) {
    super(options);
    this.#view = view;
  }

  override place(request: PlacementRequest): PlacementDecision {
    let earliest: TargetId | undefined;
    let earliestAt = request.deadlineAt;
    for (const target of this.#view.targets(request)) {
      const responseAt = this.#view.responseAt(target, request);
      if (responseAt < earliestAt && !request.tried.has(target.placed.id)) {
        earliest = target.placed.id;
        earliestAt = responseAt;
      }
    }
    return earliest === undefined
      ? { kind: "refuse", reason: "overload", retryAfterMs: RETRY_AFTER_MS }
      : { kind: "send", target: earliest, expectedMs: 0, warmth: "unknown" };
  }
}
