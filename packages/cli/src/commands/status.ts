/**
 * `poplarthread status`.
 *
 * @module
 */

import type { Status } from "@poplarthread/operator-api";
import type { Context } from "../context.ts";
import { ExitCode } from "../exit_code.ts";
import type { Output } from "../output.ts";

/** Prints the state of the system as one VM knows it. */
export async function status({ vms, output }: Context): Promise<ExitCode> {
  const status = await vms.call((client) => client.status());
  output.result(status, () => printStatus(output, status));
  return ExitCode.ok;
}

function printStatus(output: Output, status: Status): void {
  const preset = status.preset === undefined
    ? "no preset"
    : `preset ${status.preset.id} v${status.preset.version}`;
  const readiness = status.ready ? "ready" : "not ready";
  output.line(
    `VM ${status.vm} in ${status.zone}: ${readiness}, revision ${status.revision}, ${preset}`,
  );
  for (const { subject, forMs, reason } of status.outages) {
    output.line(`OUTAGE ${subject} for ${seconds(forMs)}: ${reason}`);
  }
  output.line("");
  output.table(
    ["VM", "ZONE", "STATE", "REVISION", "AGE"],
    status.vms.map(({ vm, zone, state, revision, ageMs }) => [
      vm,
      zone,
      state,
      revision,
      seconds(ageMs),
    ]),
  );
  output.line("");
  output.table(
    ["TARGET", "SERVICE", "ZONE", "STATE", "BUSY", "WHY"],
    status.targets.map((
      { target, service, zone, state, inFlight, slots, why },
    ) => [
      target,
      service,
      zone,
      state,
      `${inFlight}/${slots}`,
      why,
    ]),
  );
  output.line("");
  printPlan(output, status);
  printProblems(output, status);
}

function printPlan(output: Output, { plan }: Status): void {
  if (plan.number === 0) {
    output.line("no plan yet");
    return;
  }
  output.line(`plan ${plan.number} by ${plan.planner ?? "unknown"}`);
  output.table(
    ["SERVICE", "REGION", "SLOTS"],
    plan.allotments.map(({ service, region, slots }) => [
      service,
      region,
      slots,
    ]),
  );
}

function printProblems(output: Output, status: Status): void {
  const unhealthy = status.tasks.filter(({ state, restarts }) =>
    state !== "running" || restarts > 0
  );
  for (const { task, state, restarts, lastError } of unhealthy) {
    output.line(
      `TASK ${task}: ${state}, ${restarts} restarts, ${
        lastError ?? "no error"
      }`,
    );
  }
  for (const { fingerprint, deaths, forMs } of status.heldBack) {
    output.line(
      `HELD BACK ${fingerprint}: ${deaths} target crashes, for another ${
        seconds(forMs)
      }`,
    );
  }
}

function seconds(ms: number): string {
  return `${(ms / 1_000).toFixed(1)} s`;
}
