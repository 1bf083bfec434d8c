/**
 * What every command gets.
 *
 * @module
 */

import type { Flags } from "./flags.ts";
import type { Output } from "./output.ts";
import { CommandError, ExitCode } from "./exit_code.ts";
import type { Vms } from "./vms.ts";

/** The surroundings of one command. */
export interface Context {
  readonly vms: Vms;
  readonly output: Output;
  readonly flags: Flags;
  /** Reads a file that the operator named; throws where it can't. */
  readonly readFile: (path: string) => string;
}

/** A command: gets the words after its own name. */
export type Command = (
  context: Context,
  words: readonly string[],
) => Promise<ExitCode>;

/** The word at `index`, or a usage error that names what is missing. */
export function requiredWord(
  words: readonly string[],
  index: number,
  what: string,
): string {
  const word = words[index];
  if (word === undefined) {
    throw new CommandError(
      ExitCode.usage,
      `Cannot run this: ${what} is missing`,
    );
  }
  return word;
}
