/**
 * Waits until every VM confirms a revision.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import type { VmId } from "@poplarthread/ids";
import type { Status } from "@poplarthread/operator-api";
import type { Context } from "./context.ts";
import { ExitCode } from "./exit_code.ts";

/** Heartbeats carry revisions; asking more often shows nothing newer. */
const POLL_MS = 250;

/** Which VMs run a revision, or a higher one. */
export interface Confirmations {
  readonly confirmed: readonly VmId[];
  readonly missing: readonly VmId[];
}

/** Who confirms `revision`; a dead VM serves nobody and is not waited for. */
export function confirmations(status: Status, revision: number): Confirmations {
  const running = status.vms.filter(({ state }) => state !== "dead");
  function confirms(vm: VmId, known: number | undefined): boolean {
    const current = vm === status.vm ? status.revision : known;
    return (current ?? 0) >= revision;
  }
  return {
    confirmed: running
      .filter((vm) => confirms(vm.vm, vm.revision))
      .map(({ vm }) => vm),
    missing: running
      .filter((vm) => !confirms(vm.vm, vm.revision))
      .map(({ vm }) => vm),
  };
}

/** Prints who confirmed; exit code `unconfirmed` names a VM that did not in time. */
export async function waitUntilConfirmed(
  { vms, output, flags }: Context,
  revision: number,
): Promise<ExitCode> {
  const start = performance.now();
  for (;;) {
    const status = await vms.ask((client) => client.status());
    const { confirmed, missing } = confirmations(status, revision);
    const waitedMs = Math.round(performance.now() - start);
    const isOver = waitedMs >= flags.waitMs;
    if (missing.length > 0 && !isOver) {
      await sleep(POLL_MS);
      continue;
    }
    const result = { kind: "accepted", revision, confirmed, missing, waitedMs };
    output.result(result, () => {
      output.line(
        `accepted as revision ${revision}, in force on ${confirmed.length} VMs`,
      );
      if (missing.length > 0) {
        output.line(
          `not confirmed after ${waitedMs} ms by: ${missing.join(", ")}`,
        );
      }
    });
    return missing.length === 0 ? ExitCode.ok : ExitCode.unconfirmed;
  }
}
