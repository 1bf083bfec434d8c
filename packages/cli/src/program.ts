/**
 * Runs one command line from words to exit code.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { OperatorApiError } from "@poplarthread/operator-api";
import { audit } from "./commands/audit.ts";
import { drain, undrain } from "./commands/drain.ts";
import { explainRequest } from "./commands/explain_request.ts";
import { explain, lookup } from "./commands/lookup.ts";
import { preset } from "./commands/preset.ts";
import { status } from "./commands/status.ts";
import type { Command } from "./context.ts";
import { CommandError, ExitCode } from "./exit_code.ts";
import { type CommandLine, type Flags, parseCommandLine } from "./flags.ts";
import { Output, type Terminal } from "./output.ts";
import { Vms } from "./vms.ts";

/** What the command needs of its process. */
export interface Surroundings {
  readonly argv: readonly string[];
  readonly env: Readonly<Record<string, string | undefined>>;
  readonly terminal: Terminal;
}

const COMMANDS: Readonly<Record<string, Command>> = {
  audit,
  drain,
  explain,
  "explain-request": explainRequest,
  lookup,
  preset,
  status,
  undrain,
};

/** Runs the command; never throws for anything an operator can cause. */
export async function run(
  { argv, env, terminal }: Surroundings,
): Promise<ExitCode> {
  const line = parseCommandLine(argv, env);
  const output = new Output(terminal, line.flags.json);
  let vms: Vms | undefined;
  try {
    const command = findCommand(line);
    vms = connect(line.flags, isLocal(line.words));
    const context = { vms, output, flags: line.flags, readFile };
    return await command(context, line.words.slice(1));
  } catch (err) {
    return report(output, err);
  } finally {
    await vms?.close();
  }
}

function findCommand({ words, help }: CommandLine): Command {
  const command = COMMANDS[words[0] ?? ""];
  if (command === undefined) {
    throw new CommandError(ExitCode.usage, help);
  }
  return command;
}

/** Commands that ask nobody, so that files can be read anywhere. */
function isLocal([command, verb]: readonly string[]): boolean {
  return command === "explain-request" ||
    (command === "preset" && verb === "check");
}

function connect(flags: Flags, local: boolean): Vms {
  const { tokenFile, vm, timeoutMs } = flags;
  if (tokenFile === undefined && !local) {
    throw new CommandError(
      ExitCode.usage,
      "Cannot ask a VM without a token: name its file with --token-file or POPLARTHREAD_TOKEN_FILE",
    );
  }
  const token = tokenFile === undefined ? "" : readFile(tokenFile).trim();
  return new Vms({ urls: vm, token, timeoutMs });
}

function readFile(path: string): string {
  try {
    return readFileSync(path, "utf8");
  } catch (err) {
    const { message } = err as Error;
    throw new CommandError(ExitCode.usage, `Cannot read the file: ${message}`);
  }
}

function report(output: Output, err: unknown): ExitCode {
  if (err instanceof CommandError) {
    output.note(err.message);
    return err.code;
  }
  if (err instanceof OperatorApiError) {
    output.note(err.message);
    for (const { pointer, message } of err.answer?.findings ?? []) {
      output.note(`  ${pointer}: ${message}`);
    }
    return err.status === 0 || err.status >= 500
      ? ExitCode.unavailable
      : ExitCode.refused;
  }
  throw err;
}
