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
import { type Context, requiredWord } from "../context.ts";
import { CommandError, ExitCode } from "../exit_code.ts";
import { printAudit } from "./audit.ts";

/** Runs one of the preset commands. */
export async function preset(
  context: Context,
  words: readonly string[],
): Promise<ExitCode> {
  const verb = requiredWord(words, 0, "what to do with a preset");
  const rest = words.slice(1);
  switch (verb) {
    case "list":
      return await list(context);
    case "show":
      return await show(context, presetName(rest));
    case "check":
      return check(context, requiredWord(rest, 0, "the file"));
    case "create":
    case "edit":
      return await write(context, requiredWord(rest, 0, "the file"), verb);
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
        `Cannot run "preset ${verb}": there is no such command`,
      );
  }
}

function presetName(words: readonly string[]): PresetId {
  return id<PresetId>(requiredWord(words, 0, "the name of the preset"));
}

async function list({ vms, output }: Context): Promise<ExitCode> {
  const presets = await vms.ask((client) => client.presets());
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
  const stored = await vms.ask((client) => client.preset(name, flags.version));
  // Only the preset itself, so that the output can be edited and sent back.
  output.line(JSON.stringify(stored.preset, null, 2));
  return ExitCode.ok;
}

function check(context: Context, file: string): ExitCode {
  const checked = readPreset(context, file);
  context.output.result(
    { findings: [] },
    () => context.output.line(`${file}: "${checked.id}" would be accepted`),
  );
  return ExitCode.ok;
}

async function write(
  context: Context,
  file: string,
  verb: "create" | "edit",
): Promise<ExitCode> {
  const preset = readPreset(context, file);
  const exists = await doesExist(context, preset.id);
  if (exists && verb === "create") {
    throw new CommandError(
      ExitCode.refused,
      `Cannot create "${preset.id}": it exists; use "preset edit"`,
    );
  }
  if (!exists && verb === "edit") {
    throw new CommandError(
      ExitCode.refused,
      `Cannot edit "${preset.id}": there is no such preset; use "preset create"`,
    );
  }
  return await sendChange(context, { kind: "edit", preset });
}

async function doesExist(
  { vms }: Context,
  name: PresetId,
): Promise<boolean> {
  try {
    await vms.ask((client) => client.preset(name));
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
  words: readonly string[],
): Promise<ExitCode> {
  const { vms, output } = context;
  const first = requiredWord(words, 0, "the preset or file to compare");
  const newer = await namedOrFile(context, first);
  const older = words[1] === undefined
    ? (await vms.ask((client) => client.configuration())).preset
    : await namedOrFile(context, words[1]);
  const differences = diff(older, newer);
  output.result(differences, () => {
    if (differences.length === 0) {
      output.line("no difference");
      return;
    }
    output.table(
      ["WHERE", "WAS", "IS"],
      differences.map((difference) => [
        toPointer(difference.path),
        "oldValue" in difference ? JSON.stringify(difference.oldValue) : "-",
        "value" in difference ? JSON.stringify(difference.value) : "-",
      ]),
    );
  });
  return ExitCode.ok;
}

/** A word with a dot or slash is a file; names of presets have neither. */
async function namedOrFile(context: Context, word: string): Promise<Preset> {
  if (/[./]/.test(word)) {
    return readPreset(context, word);
  }
  const stored = await context.vms.ask((client) =>
    client.preset(id<PresetId>(word))
  );
  return stored.preset;
}

async function history(context: Context, name: PresetId): Promise<ExitCode> {
  const entries = await context.vms.ask((client) => client.history(name));
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
