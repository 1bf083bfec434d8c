/**
 * `poplarthread drain` and `poplarthread undrain`.
 *
 * @module
 */

import type { DrainSubject } from "@poplarthread/config";
import { sendChange } from "../change.ts";
import { type Context, requiredWord } from "../context.ts";
import { CommandError, ExitCode } from "../exit_code.ts";

/** Takes a target, VM or zone out of service. */
export async function drain(
  context: Context,
  words: readonly string[],
): Promise<ExitCode> {
  return await sendChange(context, {
    kind: "drain",
    subject: subjectOf(words),
  });
}

/** Puts it back. */
export async function undrain(
  context: Context,
  words: readonly string[],
): Promise<ExitCode> {
  return await sendChange(context, {
    kind: "undrain",
    subject: subjectOf(words),
  });
}

function subjectOf(words: readonly string[]): DrainSubject {
  const kind = requiredWord(words, 0, "target, vm or zone");
  const id = requiredWord(words, 1, `the ${kind}`);
  switch (kind) {
    case "target":
    case "vm":
    case "zone":
      return { kind, id };
    default:
      throw new CommandError(
        ExitCode.usage,
        `Cannot drain a "${kind}": only a target, vm or zone`,
      );
  }
}
