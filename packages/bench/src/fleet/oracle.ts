/**
 * A bound to compare with: places each request where it would be answered first,
 * knowing every target's queue and what it keeps at this very moment. No VM can
 * know that.
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

/** What the oracle sees of a request. */
export interface OracleView {
  /** Targets that may be used for the request. */
  targets(request: PlacementRequest): readonly EmulatedTarget[];
  /** When a target would answer the request, in milliseconds. */
  answerAt(target: EmulatedTarget, request: PlacementRequest): number;
}

/** Work as it is on the mean of its kind. */
type MeanJob = Pick<Job, "object" | "workMs" | "warmGain">;

/** Which work a request brings, by the hash of its object. */
export class KnownJobs {
  readonly #scenario: Scenario;
  readonly #jobs = new Map<number, MeanJob>();

  constructor(scenario: Scenario) {
    this.#scenario = scenario;
  }

  /** A request of a kind comes. */
  remember({ object, route }: EmulatedRequest, kind: RequestKind): void {
    if (object !== undefined) {
      const { workMs, warmGain } = kind;
      const hash = hashText(`${route.host}${route.prefix}${object}`);
      this.#jobs.set(hash, { object, workMs, warmGain });
    }
  }

  /** The work of a request for an object, or of any request for a service. */
  of(hash: number | undefined, service: ServiceId): MeanJob {
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

/** Retry-After of a refusal, in milliseconds. */
const RETRY_AFTER_MS = 200;

/** See the module's comment. */
export class OracleSteering extends Steering {
  readonly #view: OracleView;

  constructor(options: SteeringOptions, view: OracleView) {
    super(options);
    this.#view = view;
  }

  override place(request: PlacementRequest): PlacementDecision {
    let best: TargetId | undefined;
    let bestAt = request.answerBy;
    for (const target of this.#view.targets(request)) {
      const answerAt = this.#view.answerAt(target, request);
      if (answerAt < bestAt && !request.tried.has(target.placed.id)) {
        best = target.placed.id;
        bestAt = answerAt;
      }
    }
    return best === undefined
      ? { kind: "refuse", reason: "overload", retryAfterMs: RETRY_AFTER_MS }
      : { kind: "send", target: best, expectedMs: 0, warmth: "unknown" };
  }
}
