/**
 * Runs several target stand-ins in one process: `target_main.js '{"targets"}'`.
 * Its administration listener handles `counts`, `runs`, `set` and `quiet`.
 *
 * @module
 */

import { processOptions, serveAdmin } from "../admin.ts";
import { RunCounter } from "./run_counter.ts";
import type { TargetOptions, TargetSwitches } from "./switches.ts";
import { Target } from "./target.ts";

/** Body of `set`: the switches to change on a target. */
interface SetSwitchesRequest {
  readonly target: string;
  readonly switches: Partial<TargetSwitches>;
}

/** Body of `quiet`: no run should begin on the target more than `afterMs` from now. */
interface ExpectNoRunsRequest {
  readonly target: string;
  readonly afterMs: number;
}

const options = processOptions<{ targets: readonly TargetOptions[] }>();
const runCounter = new RunCounter();
const targets = new Map(
  options.targets.map((target) => [target.id, new Target(target, runCounter)]),
);
await Promise.all([...targets.values()].map((target) => target.listen()));

function handle(operation: string, body: unknown): unknown {
  switch (operation) {
    case "counts":
      return Object.fromEntries(
        [...targets].map(([id, target]) => [id, target.counts]),
      );
    case "runs":
      return runCounter.report();
    case "set": {
      const request = body as SetSwitchesRequest;
      targets.get(request.target)!.setSwitches(request.switches);
      return {};
    }
    case "quiet": {
      const request = body as ExpectNoRunsRequest;
      targets.get(request.target)!.expectNoRunsAfter(request.afterMs);
      return {};
    }
    default:
      return undefined;
  }
}

await serveAdmin(handle);
