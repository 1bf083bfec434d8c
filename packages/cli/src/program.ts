/**
 * Runs one command line and returns its exit code.
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
import { VmClients } from "./vms.ts";

/** Arguments, environment and terminal of a command. */
export interface RunOptions {
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

/** Runs the command; errors that an operator can cause become messages and exit codes, never exceptions. */
export async function run(
  { argv, env, terminal }: RunOptions,
): Promise<ExitCode> {
  const commandLine = parseCommandLine(argv, env);
  const output = new Output(terminal, commandLine.flags.json);
  let vms: VmClients | undefined;
  try {
    const command = findCommand(commandLine);
    vms = createClients(commandLine.flags, isLocal(commandLine.args));
    const context = { vms, output, flags: commandLine.flags, readFile };
    return await command(context, commandLine.args.slice(1));
  } catch (err) {
    return reportError(output, err);
  } finally {
    await vms?.close();
  }
}

function findCommand({ args, help }: CommandLine): Command {
  const command = COMMANDS[args[0] ?? ""];
  if (command === undefined) {
    throw new CommandError(ExitCode.usage, help);
  }
  return command;
}

/** Whether the command needs no VM, so that it runs without a token and VM addresses. */
function isLocal([command, subcommand]: readonly string[]): boolean {
  return command === "explain-request" ||
    (command === "preset" && subcommand === "check");
}

function createClients(flags: Flags, local: boolean): VmClients {
  const { tokenFile, vm, timeoutMs } = flags;
  if (tokenFile === undefined && !local) {
    throw new CommandError(
      ExitCode.usage,
      "Cannot call a VM without a token: set the token file with --token-file or POPLARTHREAD_TOKEN_FILE",
    );
  }
  const token = tokenFile === undefined ? "" : readFile(tokenFile).trim();
  return new VmClients({ urls: vm, token, timeoutMs });
}

function readFile(path: string): string {
  try {
    return readFileSync(path, "utf8");
  } catch (err) {
    const { message } = err as Error;
    throw new CommandError(ExitCode.usage, `Cannot read the file: ${message}`);
  }
}

function reportError(output: Output, err: unknown): ExitCode {
  if (err instanceof CommandError) {
    output.note(err.message);
    return err.code;
  }
  if (err instanceof OperatorApiError) {
    output.note(err.message);
    for (const { pointer, message } of err.errorBody?.findings ?? []) {
      output.note(`  ${pointer}: ${message}`);
    }
    return err.status === 0 || err.status >= 500
      ? ExitCode.unavailable
      : ExitCode.refused;
  }
  throw err;
}
