/**
 * Exit codes of the command; scripts rely on them.
 *
 * @module
 */

/** Exit codes and their meanings. */
export const ExitCode = {
  ok: 0,
  /** The change was refused, or the requested object does not exist. */
  refused: 1,
  /** The command line or a file is invalid; findings name the position. */
  usage: 2,
  /** Another operator's change was accepted first; nothing was written. */
  conflict: 3,
  /** No VM could be reached, or the VM could not reach the table; nothing was written. */
  unavailable: 4,
  /** The change was accepted, but `--wait` timed out before all VMs had confirmed it. */
  unconfirmed: 5,
  /** The table's response was lost; run the command again with the operation id that it printed. */
  unknown: 6,
} as const;

/** An exit code of the command. */
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/** Ends a command with an error message and an exit code. */
export class CommandError extends Error {
  override readonly name = "CommandError";
  readonly code: ExitCode;

  constructor(code: ExitCode, message: string) {
    super(message);
    this.code = code;
  }
}
