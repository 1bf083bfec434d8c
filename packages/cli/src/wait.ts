/**
 * Waits until all VMs confirm a revision.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import type { VmId } from "@poplarthread/ids";
import type { Status } from "@poplarthread/operator-api";
import type { Context } from "./context.ts";
import { ExitCode } from "./exit_code.ts";

/** Revisions travel with heartbeats; polling more often shows nothing newer. */
const POLL_MS = 250;

/** VMs that run a revision or a higher one, and VMs that do not yet. */
export interface Confirmations {
  readonly confirmed: readonly VmId[];
  readonly missing: readonly VmId[];
}

/** The VMs that have confirmed `revision` and those that have not; dead VMs serve no requests and are left out. */
export function confirmations(status: Status, revision: number): Confirmations {
  const running = status.vms.filter(({ state }) => state !== "dead");
  function confirms(vm: VmId, reported: number | undefined): boolean {
    const current = vm === status.vm ? status.revision : reported;
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

/** Waits and prints the confirmations; the exit code is `unconfirmed` if a VM did not confirm in time. */
export async function waitUntilConfirmed(
  { vms, output, flags }: Context,
  revision: number,
): Promise<ExitCode> {
  const start = performance.now();
  for (;;) {
    const status = await vms.call((client) => client.status());
    const { confirmed, missing } = confirmations(status, revision);
    const waitedMs = Math.round(performance.now() - start);
    const hasTimedOut = waitedMs >= flags.waitMs;
    if (missing.length > 0 && !hasTimedOut) {
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
