/**
 * The binary `poplarthreadd`.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import process from "node:process";
import meow from "meow";
import {
  FindingsError,
  formatFinding,
  readDocument,
  settingsFormat,
} from "@poplarthread/config";
import { startDaemon } from "./daemon.ts";

const cli = meow(
  `
  Usage
    $ poplarthreadd --settings FILE

  Options
    --settings FILE  the settings of this VM
    --check          check the settings, then exit
`,
  {
    importMeta: import.meta,
    flags: {
      settings: { type: "string", isRequired: true },
      check: { type: "boolean", default: false },
    },
  },
);

/** Reads the settings and runs the daemon until a signal stops it. */
async function main(): Promise<void> {
  const file = cli.flags.settings;
  try {
    const settings = readDocument(readFileSync(file, "utf8"), settingsFormat);
    if (cli.flags.check) {
      return;
    }
    const daemon = await startDaemon(settings);
    console.log("ready");
    process.once("SIGTERM", () => {
      daemon.stop().then(() => process.exit(0));
    });
  } catch (err) {
    if (!(err instanceof FindingsError)) {
      throw err;
    }
    for (const finding of err.findings) {
      console.error(formatFinding(file, finding));
    }
    process.exitCode = 2;
  }
}

await main();
