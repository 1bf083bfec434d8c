/**
 * Entry point of the benchmarks and experiments: `npm run bench -- EXPERIMENT [options]`.
 *
 * @module
 */

import process from "node:process";

/** Interface of each experiment's module. */
interface Experiment {
  run(args: readonly string[]): Promise<void>;
}

/** Loaded on demand, so that an experiment does not pay for loading the others. */
const EXPERIMENTS: Readonly<Record<string, () => Promise<Experiment>>> = {
  decisions: () => import("./decisions/main.ts"),
  fleet: () => import("./fleet/main.ts"),
  journal: () => import("./journal/main.ts"),
};

const [name = "", ...args] = process.argv.slice(2);
const load = EXPERIMENTS[name];
if (load === undefined) {
  console.error(
    `usage: npm run bench -- ${Object.keys(EXPERIMENTS).join("|")} [options]`,
  );
  process.exitCode = 2;
} else {
  await (await load()).run(args);
}
