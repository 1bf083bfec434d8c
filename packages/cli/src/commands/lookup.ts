/**
 * `poplarthread lookup` and `poplarthread explain`.
 *
 * @module
 */

import { id, type ZoneId } from "@poplarthread/ids";
import { type Context, requiredWord } from "../context.ts";
import { ExitCode } from "../exit_code.ts";

/** Prints what callers of a zone are told. */
export async function lookup(
  { vms, output, flags }: Context,
): Promise<ExitCode> {
  const zone = flags.zone === undefined ? undefined : id<ZoneId>(flags.zone);
  const answer = await vms.ask((client) => client.lookup(zone));
  output.result(answer, () => {
    output.table(
      ["VM", "REGION", "ZONE", "ADDRESS"],
      answer.vms.map(({ vm, region, zone, caller }) => [
        vm,
        region,
        zone,
        caller,
      ]),
    );
    output.line(`callers may cache this for ${answer.lifetimeMs} ms`);
  });
  return ExitCode.ok;
}

/** Prints where a request would go now, and why; sends nothing. */
export async function explain(
  { vms, output, flags }: Context,
  words: readonly string[],
): Promise<ExitCode> {
  const method = requiredWord(words, 0, "the method").toUpperCase();
  const path = requiredWord(words, 1, "the path");
  const answer = await vms.ask((client) =>
    client.explain({ method, path, caller: flags.caller ?? "" })
  );
  output.result(answer, () => {
    const { kind, ...facts } = answer;
    output.line(kind === "route" ? `${method} ${path}` : "no route");
    output.table(["", ""], Object.entries(facts));
  });
  return answer.kind === "route" ? ExitCode.ok : ExitCode.refused;
}
