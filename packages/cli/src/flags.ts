/**
 * Command line parsing: arguments, flags and the help text.
 *
 * @module
 */

import meow from "meow";

const HELP = `
  Usage
    $ poplarthread COMMAND [options]

  Presets
    preset list                       all presets, and which one is in force
    preset show NAME                  a preset as JSON  [--version N]
    preset check FILE                 validate a file without writing anything
    preset create FILE                write a new preset
    preset edit FILE                  write a new version of a preset
    preset diff NAME|FILE [NAME|FILE] compare with the second, by default the one in force
    preset switch NAME                put a preset in force
    preset history NAME               who wrote each version, and why

  Maintenance
    drain target|vm|zone ID           take out of service; requests in flight go on
    undrain target|vm|zone ID         return to service

  Inspection
    status                            VMs, revisions, plan, targets, outages
    audit                             who changed what, newest first  [--limit N] [--before REVISION]
    lookup                            the entry VMs that callers get  [--zone ZONE]
    explain METHOD PATH               where a request would be routed now, and why
                                      [--caller NAME]

  Diagnosis
    explain-request ID [FILE...]      timeline of one request from collected logs, read
                                      from standard input if no file is named

  Options
    --vm URL           operator listener of a VM; may be repeated, the first VM that
                       responds is used (or POPLARTHREAD_VMS, separated by commas)
    --token-file FILE  file with your token (or POPLARTHREAD_TOKEN_FILE)
    --why TEXT         reason for a change, recorded in the audit trail
    --wait             after a change, wait until all VMs confirm it
    --wait-ms N        time-out of --wait (default 15000)
    --operation ID     retry a change whose outcome was unknown
    --json             print JSON
    --timeout-ms N     time-out for one response (default 5000)

  Exit codes
    0 success   1 refused or not found   2 usage error or findings
    3 another operator's change was accepted first
    4 unreachable, nothing written   5 accepted, but not confirmed by all VMs
    6 outcome unknown: retry with --operation

  Examples
    $ poplarthread status
    $ poplarthread preset check peak.json
    $ poplarthread preset switch peak --why "premiere weekend" --wait
    $ poplarthread drain zone kosice-1 --why "power works" --wait
    $ poplarthread explain POST /objections
`;

/** Flags of all commands. */
export interface Flags {
  readonly vm: readonly string[];
  readonly tokenFile: string | undefined;
  readonly why: string | undefined;
  readonly wait: boolean;
  readonly waitMs: number;
  readonly operation: string | undefined;
  readonly json: boolean;
  readonly timeoutMs: number;
  readonly version: number | undefined;
  readonly limit: number;
  readonly before: number | undefined;
  readonly zone: string | undefined;
  readonly caller: string | undefined;
}

/** A parsed command line. */
export interface CommandLine {
  /** Positional arguments, for example `preset switch peak`. */
  readonly args: readonly string[];
  readonly flags: Flags;
  /** The help text, for usage errors. */
  readonly help: string;
}

/** Parses the arguments. `--help` prints the help text and exits the process. */
export function parseCommandLine(
  argv: readonly string[],
  env: Readonly<Record<string, string | undefined>>,
): CommandLine {
  const cli = meow(HELP, {
    importMeta: import.meta,
    argv,
    description: false,
    autoVersion: false,
    allowUnknownFlags: false,
    flags: {
      vm: { type: "string", isMultiple: true },
      tokenFile: { type: "string" },
      why: { type: "string" },
      wait: { type: "boolean", default: false },
      waitMs: { type: "number", default: 15_000 },
      operation: { type: "string" },
      json: { type: "boolean", default: false },
      timeoutMs: { type: "number", default: 5_000 },
      version: { type: "number" },
      limit: { type: "number", default: 20 },
      before: { type: "number" },
      zone: { type: "string" },
      caller: { type: "string" },
    },
  });
  const { flags } = cli;
  const envVms = (env.POPLARTHREAD_VMS ?? "").split(",").filter(Boolean);
  return {
    args: cli.input,
    help: cli.help,
    flags: {
      ...flags,
      vm: flags.vm !== undefined && flags.vm.length > 0 ? flags.vm : envVms,
      tokenFile: flags.tokenFile ?? env.POPLARTHREAD_TOKEN_FILE,
      why: flags.why,
      operation: flags.operation,
      version: flags.version,
      before: flags.before,
      zone: flags.zone,
      caller: flags.caller,
    },
  };
}
