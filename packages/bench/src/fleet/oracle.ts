/**
 * A bound to compare with: places each request where it would be answered first,
 * knowing every target's queue and what it keeps at this very moment. No VM can
 * know that.
 *
 * @module
 */

import type { TargetId } from "@poplarthread/ids";
import {
  type PlacementDecision,
  type PlacementRequest,
  Steering,
  type SteeringOptions,
} from "@poplarthread/placement";
import type { EmulatedTarget } from "./emulated_target.ts";

/** What the oracle sees of a request. */
export interface OracleView {
  /** Targets that may be used for the request. */
  targets(request: PlacementRequest): readonly EmulatedTarget[];
  /** When a target would answer the request, in milliseconds. */
  answerAt(target: EmulatedTarget, request: PlacementRequest): number;
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
