/**
 * The command line of the binary `poplarthreadd`.
 *
 * @module
 */

import { readFileSync, writeSync } from "node:fs";
import process from "node:process";
import meow from "meow";
import {
  FindingsError,
  formatFinding,
  readDocument,
  type Settings,
  settingsFormat,
} from "@poplarthread/config";
import { type Secrets, startDaemon } from "./daemon.ts";
import {
  type EarlySignals,
  pendingSignals,
  STOPPED_EARLY_LINE,
} from "./early_signals.ts";
import { messageOf } from "./errors.ts";
import { OperatorTokens, TokensError } from "./operator/mod.ts";
import { ProcessEnd } from "./process_end.ts";
import { StopSignals } from "./stop_signals.ts";

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

/** Minimum length of the peers' shared token. */
const MIN_PEER_TOKEN_CHARS = 8;
/** The settings, or a file that they name, are invalid or cannot be read. */
const EXIT_BAD_INPUT = 2;

/** What the daemon is started with. */
interface Input {
  readonly settings: Settings;
  readonly secrets: Secrets;
}

/** Reads the settings and runs the daemon until a signal stops it. */
export async function runCommand(signals: EarlySignals): Promise<void> {
  const input = readInput(cli.flags.settings);
  await pendingSignals();
  if (signals.isStopPending && !cli.flags.check) {
    console.error(STOPPED_EARLY_LINE);
    process.exit(0);
  }
  if (input === undefined) {
    process.exitCode = EXIT_BAD_INPUT;
    return;
  }
  if (cli.flags.check) {
    return;
  }
  const end = new ProcessEnd({
    process,
    report: (report) => {
      const line = { level: "error", message: "cannot go on", ...report };
      writeSync(process.stderr.fd, `${JSON.stringify(line)}\n`);
    },
  });
  try {
    await run(input, { signals, end });
  } catch (err) {
    end.failed(err);
  }
}

/** Reads settings and secrets; prints all findings and returns undefined on an error. */
function readInput(file: string): Input | undefined {
  try {
    const settings = readDocument(readFileSync(file, "utf8"), settingsFormat);
    return { settings, secrets: readSecrets(settings) };
  } catch (err) {
    if (err instanceof FindingsError) {
      for (const finding of err.findings) {
        console.error(formatFinding(file, finding));
      }
    } else {
      console.error(`${file}: ${messageOf(err)}`);
    }
    return undefined;
  }
}

function readSecrets({ secrets }: Settings): Secrets {
  const operatorTokens = readFileSync(secrets.operatorTokensFile, "utf8");
  // Parsed here so that `--check` reports an invalid file too.
  new OperatorTokens(operatorTokens);
  const peerToken = readFileSync(secrets.peerTokenFile, "utf8").trim();
  if (peerToken.length < MIN_PEER_TOKEN_CHARS) {
    throw new TokensError(
      `Cannot use the peers' token: shorter than ${MIN_PEER_TOKEN_CHARS} characters`,
    );
  }
  return { operatorTokens, peerToken };
}

async function run(
  { settings, secrets }: Input,
  { signals, end }: {
    readonly signals: EarlySignals;
    readonly end: ProcessEnd;
  },
): Promise<void> {
  const stopSignals = new StopSignals({
    process: signals,
    stopped: () => process.exit(0),
    failed: (err) => end.failed(err),
  });
  const daemon = await startDaemon(settings, secrets);
  daemon.failed.then((err) => end.failedInOrder(err, daemon));
  stopSignals.started(daemon);
  await daemon.ready;
  console.log("ready");
}
