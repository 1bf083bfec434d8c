/**
 * The face of the decisions: one `Steering` per VM takes events and says what
 * to do.
 *
 * @module
 */

import type { RequestId, TargetId, VmId } from "@poplarthread/ids";
import type { Effect } from "./effect.ts";
import type { SteeringEvent, TargetEntry } from "./event.ts";
import type { Policy } from "./policy.ts";

/** What a VM's decisions start from. */
export interface SteeringOptions {
  readonly self: VmId;
  readonly policy: Policy;
  /** Seeds the spread of retry times. */
  readonly seed: number;
}

const NOTHING: readonly Effect[] = [];

/** The decisions of one VM. Pure: the same events at the same times give the
 * same effects. */
export class Steering {
  readonly self: VmId;
  #owned = new Map<TargetId, number>();
  #targets: readonly TargetEntry[] = [];
  #running = new Map<RequestId, TargetId>();

  constructor(opts: SteeringOptions) {
    this.self = opts.self;
  }

  /** When the next `tick` is wanted, on the clock of `now`; undefined: none.
   * May be early or late by a few milliseconds without harm. */
  get nextTick(): number | undefined {
    return undefined;
  }

  /** Takes one event in. `now` never goes back. The effects are to be carried
   * out in their order. */
  handle(event: SteeringEvent, _now: number): readonly Effect[] {
    switch (event.kind) {
      case "arrive":
        return this.#arrive(event.request);
      case "ended":
        this.#end(event.request);
        return NOTHING;
      case "targets":
        this.#targets = event.targets;
        return NOTHING;
      case "plan":
        for (const allotment of event.plan.allotments) {
          if (allotment.vm !== this.self) continue;
          this.#owned.set(allotment.target, allotment.slots);
        }
        return [{ kind: "plan-applied", sequence: event.plan.sequence }];
      default:
        return NOTHING;
    }
  }

  #arrive(request: RequestId): Effect[] {
    for (const { target, leaving } of this.#targets) {
      const free = this.#owned.get(target) ?? 0;
      if (leaving || free === 0) continue;
      this.#owned.set(target, free - 1);
      this.#running.set(request, target);
      return [{ kind: "dispatch", request, target, attempt: 1 }];
    }
    return [{
      kind: "refuse",
      request,
      reason: "overload",
      retryAfterMs: 1_000,
      notRun: true,
    }];
  }

  #end(request: RequestId): void {
    const target = this.#running.get(request);
    if (target === undefined) return;
    this.#running.delete(request);
    this.#owned.set(target, (this.#owned.get(target) ?? 0) + 1);
  }
}
