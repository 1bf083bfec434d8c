/**
 * `poplarthread drain` and `poplarthread undrain`.
 *
 * @module
 */

import type { DrainSubject } from "@poplarthread/config";
import { sendChange } from "../change.ts";
import { type Context, requiredArg } from "../context.ts";
import { CommandError, ExitCode } from "../exit_code.ts";

/** Takes a target, VM or zone out of service for planned maintenance. */
export async function drain(
  context: Context,
  args: readonly string[],
): Promise<ExitCode> {
  return await sendChange(context, {
    kind: "drain",
    subject: subjectOf(args),
  });
}

/** Returns a target, VM or zone to service. */
export async function undrain(
  context: Context,
  args: readonly string[],
): Promise<ExitCode> {
  return await sendChange(context, {
    kind: "undrain",
    subject: subjectOf(args),
  });
}

function subjectOf(args: readonly string[]): DrainSubject {
  const kind = requiredArg(args, 0, "target, vm or zone");
  const id = requiredArg(args, 1, `the id of the ${kind}`);
  switch (kind) {
    case "target":
    case "vm":
    case "zone":
      return { kind, id };
    default:
      throw new CommandError(
        ExitCode.usage,
        `Cannot drain or undrain a "${kind}": expected target, vm or zone`,
      );
  }
}
