/**
 * `poplarthread audit`.
 *
 * @module
 */

import type { AuditEntry } from "@poplarthread/operator-api";
import type { Context } from "../context.ts";
import { formatChange } from "../describe.ts";
import { ExitCode } from "../exit_code.ts";
import type { Output } from "../output.ts";

/** Prints the newest entries of the audit trail. */
export async function audit(context: Context): Promise<ExitCode> {
  const { limit, before } = context.flags;
  const entries = await context.vms.call((client) =>
    client.audit({ limit, ...(before === undefined ? {} : { before }) })
  );
  printAudit(context.output, entries);
  return ExitCode.ok;
}

/** Prints audit entries as a table or JSON. */
export function printAudit(
  output: Output,
  entries: readonly AuditEntry[],
): void {
  output.result(entries, () => {
    output.table(
      ["REVISION", "WHEN", "WHO", "WHAT", "WHY"],
      entries.map(({ revision, at, who, change, why }) => [
        revision,
        at,
        who,
        formatChange(change),
        why,
      ]),
    );
  });
}
