/**
 * The command line: words, options and help.
 *
 * @module
 */

import meow from "meow";

const HELP = `
  Usage
    $ poplarthread COMMAND [options]

  Presets
    preset list                       every preset, and which one is in force
    preset show NAME                  a preset as JSON  [--version N]
    preset check FILE                 findings of a file, without writing anything
    preset create FILE                write a new preset
    preset edit FILE                  write a new version of a preset
    preset diff NAME|FILE [NAME|FILE] what differs; the second is what is in force
    preset switch NAME                put a preset in force
    preset history NAME               who wrote which version, and why

  Planned work
    drain target|vm|zone ID           take out of service; nothing is cut
    undrain target|vm|zone ID         put back

  Looking
    status                            VMs, revisions, plan, targets, outages
    audit                             who changed what, newest first  [--limit N] [--before REVISION]
    lookup                            the entry VMs that callers are told  [--zone ZONE]
    explain METHOD PATH               where a request would go now, and why  [--caller NAME]

  Afterwards
    explain-request ID [FILE...]      the story of one request from collected logs,
                                      from standard input if no file is named

  Options
    --vm URL           operator listener of a VM; may be repeated, the first that
                       answers is asked (or POPLARTHREAD_VMS, separated by commas)
    --token-file FILE  file with your token (or POPLARTHREAD_TOKEN_FILE)
    --why TEXT         reason for a change; goes into the audit trail
    --wait             after a change, wait until every VM confirms it
    --wait-ms N        how long to wait at most (default 15000)
    --operation ID     repeat a change whose outcome was unknown
    --json             print JSON
    --timeout-ms N     longest wait for one answer (default 5000)

  Exit codes
    0 done   1 refused   2 wrong usage or findings   3 somebody else was faster
    4 out of reach, nothing written   5 accepted, but not confirmed by every VM
    6 outcome unknown: repeat with --operation

  Examples
    $ poplarthread status
    $ poplarthread preset check peak.json
    $ poplarthread preset switch peak --why "premiere weekend" --wait
    $ poplarthread drain zone kosice-1 --why "power works" --wait
    $ poplarthread explain POST /objections
`;

/** Options of every command. */
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
  /** The words before and between the options, for example `preset switch peak`. */
  readonly words: readonly string[];
  readonly flags: Flags;
  /** The help text, for usage errors. */
  readonly help: string;
}

/** Parses the arguments; prints the help and exits by itself where it is asked for. */
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
  const vmsOfEnv = (env.POPLARTHREAD_VMS ?? "").split(",").filter(Boolean);
  return {
    words: cli.input,
    help: cli.help,
    flags: {
      ...flags,
      vm: flags.vm !== undefined && flags.vm.length > 0 ? flags.vm : vmsOfEnv,
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
