/**
 * Runs callers of several places: `caller_main.js '{"groups"}'`. Its
 * administration listener answers `stop` when the last open request has
 * ended, and `results` with one report for each group.
 *
 * @module
 */

import { processOptions, serveAdmin } from "../admin.ts";
import { Caller, type CallerOptions } from "./caller.ts";
import { Load, type LoadOptions } from "./load.ts";

/** Callers of one place and the load they make. */
export interface CallerGroup {
  readonly caller: CallerOptions;
  readonly load: LoadOptions;
}

const options = processOptions<{ groups: readonly CallerGroup[] }>();
const groups = options.groups.map((group) => {
  const caller = new Caller(group.caller);
  return { caller, load: new Load(caller, group.load) };
});
groups.forEach(({ load }) => load.start());

await serveAdmin(async (operation) => {
  switch (operation) {
    case "stop":
      await Promise.all(groups.map(({ load }) => load.stop()));
      return {};
    case "results":
      return groups.map(({ caller }) => caller.results.report());
    default:
      return undefined;
  }
});
