/**
 * `poplarthread lookup` and `poplarthread explain`.
 *
 * @module
 */

import { id, type ZoneId } from "@poplarthread/ids";
import { type Context, requiredArg } from "../context.ts";
import { ExitCode } from "../exit_code.ts";

/** Prints the look-up response for callers in a zone. */
export async function lookup(
  { vms, output, flags }: Context,
): Promise<ExitCode> {
  const zone = flags.zone === undefined ? undefined : id<ZoneId>(flags.zone);
  const response = await vms.call((client) => client.lookup(zone));
  output.result(response, () => {
    output.table(
      ["VM", "REGION", "ZONE", "ADDRESS"],
      response.vms.map(({ vm, region, zone, caller }) => [
        vm,
        region,
        zone,
        caller,
      ]),
    );
    output.line(
      `callers may cache this response for ${response.lifetimeMs} ms`,
    );
  });
  return ExitCode.ok;
}

/** Prints where a request would be routed now, and why; does not send it. */
export async function explain(
  { vms, output, flags }: Context,
  args: readonly string[],
): Promise<ExitCode> {
  const method = requiredArg(args, 0, "the method").toUpperCase();
  const path = requiredArg(args, 1, "the path");
  const explanation = await vms.call((client) =>
    client.explain({ method, path, caller: flags.caller ?? "" })
  );
  output.result(explanation, () => {
    const { kind, ...fields } = explanation;
    output.line(kind === "route" ? `${method} ${path}` : "no route");
    output.table(["", ""], Object.entries(fields));
  });
  return explanation.kind === "route" ? ExitCode.ok : ExitCode.refused;
}
