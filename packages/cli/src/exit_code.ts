/**
 * Exit codes of the command; scripts rely on them.
 *
 * @module
 */

/** What each exit code means. */
export const ExitCode = {
  ok: 0,
  /** The change was refused, or what was asked for does not exist. */
  refused: 1,
  /** The command line or a file is wrong; findings say where. */
  usage: 2,
  /** Somebody else's change was accepted first; nothing was written. */
  conflict: 3,
  /** No VM, or not the table, could be reached; nothing was written. */
  unavailable: 4,
  /** Accepted, but `--wait` ended before every VM confirmed. */
  unconfirmed: 5,
  /** The table's answer was lost: run the command again with the operation id it printed. */
  unknown: 6,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/** Ends a command with a message for people and an exit code. */
export class CommandError extends Error {
  override readonly name = "CommandError";
  readonly code: ExitCode;

  constructor(code: ExitCode, message: string) {
    super(message);
    this.code = code;
  }
}
