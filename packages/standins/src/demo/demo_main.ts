/**
 * `npm run demo`: plays the demo; the last line is its report as JSON. Ends
 * with 0 only where all points held and every event really happened.
 *
 * @module
 */

import process from "node:process";
import meow from "meow";
import { type DeploymentName, DEPLOYMENTS } from "../presets.ts";
import { Demo } from "./demo.ts";

const cli = meow(
  `
  Usage
    $ npm run demo -- [options]

  Options
    --deployment NAME  hlasovka (default) or kinolenta
    --keep             leave it up and print addresses; ends on Ctrl-C
`,
  {
    importMeta: import.meta,
    flags: {
      deployment: {
        type: "string",
        choices: [...DEPLOYMENTS],
        default: "hlasovka",
      },
      keep: { type: "boolean", default: false },
    },
  },
);

/** Plays the events, or keeps the deployment up. */
async function main(): Promise<void> {
  const demo = await Demo.start(cli.flags.deployment as DeploymentName);
  let isGood = false;
  try {
    if (cli.flags.keep) {
      printAddresses(demo);
      await interrupted();
      isGood = true;
      return;
    }
    const report = await demo.run();
    isGood = report.broken.length + report.notExercised.length === 0;
    console.log(JSON.stringify(report));
    process.exitCode = isGood ? 0 : 1;
  } finally {
    await demo.stop({ keepLogs: !isGood });
    if (!isGood) {
      console.error(`The daemons' logs are in ${demo.cluster.dir}`);
    }
  }
}

function printAddresses(demo: Demo): void {
  const { cluster } = demo;
  console.log(`\nplatform ${cluster.platformUrl}`);
  for (const { id, zone } of cluster.layout.vms) {
    console.log(
      `${id} in ${zone}: callers http://${cluster.callerAddress(id)} ` +
        `operators ${cluster.operatorUrl(id)}`,
    );
  }
  const urls = cluster.layout.vms.map(({ id }) => cluster.operatorUrl(id));
  console.log(`
In another terminal:

  export POPLARTHREAD_VMS=${urls.join(",")}
  export POPLARTHREAD_TOKEN_FILE=${cluster.dir}/anna.token
  npx poplarthread status

Ctrl-C ends everything.`);
}

/** Settles on Ctrl-C or SIGTERM. */
function interrupted(): Promise<void> {
  return new Promise((resolve) => {
    process.once("SIGINT", () => resolve());
    process.once("SIGTERM", () => resolve());
  });
}

// An exit kills the children, a signal alone would not; with --keep it is the ordinary end.
if (!cli.flags.keep) {
  process.once("SIGINT", () => process.exit(130));
  process.once("SIGTERM", () => process.exit(143));
}

await main();
