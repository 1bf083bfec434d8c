/**
 * The context that all commands run in.
 *
 * @module
 */

import type { Flags } from "./flags.ts";
import type { Output } from "./output.ts";
import { CommandError, ExitCode } from "./exit_code.ts";
import type { VmClients } from "./vms.ts";

/** Dependencies and flags of a command. */
export interface Context {
  readonly vms: VmClients;
  readonly output: Output;
  readonly flags: Flags;
  /** Reads a file named on the command line; throws a {@link CommandError} if it cannot be read. */
  readonly readFile: (path: string) => string;
}

/** A command; `args` are the positional arguments after its name. */
export type Command = (
  context: Context,
  args: readonly string[],
) => Promise<ExitCode>;

/** The positional argument at `index`; throws a usage error that names `what` if it is missing. */
export function requiredArg(
  args: readonly string[],
  index: number,
  what: string,
): string {
  const arg = args[index];
  if (arg === undefined) {
    throw new CommandError(
      ExitCode.usage,
      `Cannot run the command: ${what} is missing`,
    );
  }
  return arg;
}
