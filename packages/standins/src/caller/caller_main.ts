/**
 * Runs callers at several locations: `caller_main.js '{"groups"}'`. Its
 * administration listener handles `stop`, which returns when the last open
 * request has ended, and `results`, which returns one report per group.
 *
 * @module
 */

import { processOptions, serveAdmin } from "../admin.ts";
import { Caller, type CallerOptions } from "./caller.ts";
import { LoadGenerator, type LoadOptions } from "./load.ts";

/** The callers at one location and the load that they generate. */
export interface CallerGroup {
  readonly caller: CallerOptions;
  readonly load: LoadOptions;
}

const options = processOptions<{ groups: readonly CallerGroup[] }>();
const groups = options.groups.map((group) => {
  const caller = new Caller(group.caller);
  return { caller, load: new LoadGenerator(caller, group.load) };
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
