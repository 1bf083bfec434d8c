/**
 * `poplarthread preset …`.
 *
 * @module
 */

import diff from "microdiff";
import {
  FindingsError,
  formatFinding,
  type Preset,
  presetFormat,
  readDocument,
  toPointer,
} from "@poplarthread/config";
import { id, type PresetId } from "@poplarthread/ids";
import { OperatorApiError } from "@poplarthread/operator-api";
import { sendChange } from "../change.ts";
import { type Context, requiredArg } from "../context.ts";
import { CommandError, ExitCode } from "../exit_code.ts";
import { printAudit } from "./audit.ts";

/** Runs one of the preset subcommands. */
export async function preset(
  context: Context,
  args: readonly string[],
): Promise<ExitCode> {
  const subcommand = requiredArg(args, 0, "the subcommand");
  const rest = args.slice(1);
  switch (subcommand) {
    case "list":
      return await list(context);
    case "show":
      return await show(context, presetName(rest));
    case "check":
      return check(context, requiredArg(rest, 0, "the file"));
    case "create":
    case "edit":
      return await write(context, requiredArg(rest, 0, "the file"), subcommand);
    case "diff":
      return await compare(context, rest);
    case "switch":
      return await sendChange(context, {
        kind: "switch",
        preset: presetName(rest),
      });
    case "history":
      return await history(context, presetName(rest));
    default:
      throw new CommandError(
        ExitCode.usage,
        `Cannot run "preset ${subcommand}": unknown subcommand`,
      );
  }
}

function presetName(args: readonly string[]): PresetId {
  return id<PresetId>(requiredArg(args, 0, "the name of the preset"));
}

async function list({ vms, output }: Context): Promise<ExitCode> {
  const presets = await vms.call((client) => client.presets());
  output.result(presets, () => {
    output.table(
      ["PRESET", "VERSION", "IN FORCE", "ABOUT"],
      presets.map(({ id, version, inForce, about }) => [
        id,
        version,
        inForce ? "yes" : "",
        about,
      ]),
    );
  });
  return ExitCode.ok;
}

async function show(
  { vms, output, flags }: Context,
  name: PresetId,
): Promise<ExitCode> {
  const stored = await vms.call((client) => client.preset(name, flags.version));
  // Prints only the preset itself, so that the output can be edited and submitted again.
  output.line(JSON.stringify(stored.preset, null, 2));
  return ExitCode.ok;
}

function check(context: Context, file: string): ExitCode {
  const preset = readPreset(context, file);
  context.output.result(
    { findings: [] },
    () => context.output.line(`${file}: preset "${preset.id}" is valid`),
  );
  return ExitCode.ok;
}

async function write(
  context: Context,
  file: string,
  subcommand: "create" | "edit",
): Promise<ExitCode> {
  const preset = readPreset(context, file);
  const exists = await presetExists(context, preset.id);
  if (exists && subcommand === "create") {
    throw new CommandError(
      ExitCode.refused,
      `Cannot create preset "${preset.id}": it already exists; use "preset edit"`,
    );
  }
  if (!exists && subcommand === "edit") {
    throw new CommandError(
      ExitCode.refused,
      `Cannot edit preset "${preset.id}": it does not exist; use "preset create"`,
    );
  }
  return await sendChange(context, { kind: "edit", preset });
}

async function presetExists(
  { vms }: Context,
  name: PresetId,
): Promise<boolean> {
  try {
    await vms.call((client) => client.preset(name));
    return true;
  } catch (err) {
    if (err instanceof OperatorApiError && err.status === 404) {
      return false;
    }
    throw err;
  }
}

async function compare(
  context: Context,
  args: readonly string[],
): Promise<ExitCode> {
  const { vms, output } = context;
  const first = requiredArg(args, 0, "the preset or file to compare");
  const newer = await loadPreset(context, first);
  const older = args[1] === undefined
    ? (await vms.call((client) => client.configuration())).preset
    : await loadPreset(context, args[1]);
  const differences = diff(older, newer);
  output.result(differences, () => {
    if (differences.length === 0) {
      output.line("no differences");
      return;
    }
    output.table(
      ["POINTER", "OLD", "NEW"],
      differences.map((difference) => [
        toPointer(difference.path),
        "oldValue" in difference ? JSON.stringify(difference.oldValue) : "-",
        "value" in difference ? JSON.stringify(difference.value) : "-",
      ]),
    );
  });
  return ExitCode.ok;
}

/** Loads a preset from a file or a VM. An argument with a dot or slash is a file; preset names have neither. */
async function loadPreset(
  context: Context,
  nameOrFile: string,
): Promise<Preset> {
  if (/[./]/.test(nameOrFile)) {
    return readPreset(context, nameOrFile);
  }
  const stored = await context.vms.call((client) =>
    client.preset(id<PresetId>(nameOrFile))
  );
  return stored.preset;
}

async function history(context: Context, name: PresetId): Promise<ExitCode> {
  const entries = await context.vms.call((client) => client.history(name));
  printAudit(context.output, entries);
  return ExitCode.ok;
}

function readPreset({ readFile, output }: Context, file: string): Preset {
  try {
    return readDocument(readFile(file), presetFormat);
  } catch (err) {
    if (!(err instanceof FindingsError)) {
      throw err;
    }
    for (const finding of err.findings) {
      output.note(formatFinding(file, finding));
    }
    throw new CommandError(ExitCode.usage, err.message);
  }
}
