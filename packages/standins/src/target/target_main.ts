/**
 * Runs target stand-ins, many in one process: `target_main.js '{"targets"}'`.
 * Its administration listener answers `counts`, `runs`, `set` and `quiet`.
 *
 * @module
 */

import { processOptions, serveAdmin } from "../admin.ts";
import { Runs } from "./runs.ts";
import type { TargetOptions, TargetSwitches } from "./switches.ts";
import { Target } from "./target.ts";

/** Body of `set`: which target, and its switches. */
interface SetCall {
  readonly target: string;
  readonly switches: Partial<TargetSwitches>;
}

/** Body of `quiet`: no run should begin on the target later than this from now. */
interface QuietCall {
  readonly target: string;
  readonly afterMs: number;
}

const options = processOptions<{ targets: readonly TargetOptions[] }>();
const runs = new Runs();
const targets = new Map(
  options.targets.map((target) => [target.id, new Target(target, runs)]),
);
await Promise.all([...targets.values()].map((target) => target.listen()));

function handle(operation: string, body: unknown): unknown {
  switch (operation) {
    case "counts":
      return Object.fromEntries(
        [...targets].map(([id, target]) => [id, target.counts]),
      );
    case "runs":
      return runs.report();
    case "set": {
      const call = body as SetCall;
      targets.get(call.target)!.set(call.switches);
      return {};
    }
    case "quiet": {
      const call = body as QuietCall;
      targets.get(call.target)!.expectQuietAfter(call.afterMs);
      return {};
    }
    default:
      return undefined;
  }
}

await serveAdmin(handle);
