/**
 * The load and experiment tool: `npm run bench -- EXPERIMENT [options]`.
 *
 * @module
 */

import process from "node:process";

/** What every experiment's module offers. */
interface Experiment {
  run(args: readonly string[]): Promise<void>;
}

/** Loaded on demand, so that one experiment's start-up cost is not another's. */
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
