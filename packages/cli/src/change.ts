/**
 * Sends a change request and reports its outcome.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import type { Change } from "@poplarthread/config";
import { id, type OperationId } from "@poplarthread/ids";
import type {
  AuditEntry,
  ChangeRequest,
  ChangeResponse,
} from "@poplarthread/operator-api";
import type { Context } from "./context.ts";
import { formatChange } from "./describe.ts";
import { CommandError, ExitCode } from "./exit_code.ts";
import { waitUntilConfirmed } from "./wait.ts";

/** Attempts of one operation while its outcome is unknown. */
const MAX_ATTEMPTS = 3;

/** Requests `change` on top of the revision that is in force now. */
export async function sendChange(
  context: Context,
  change: Change,
): Promise<ExitCode> {
  const { flags, output, vms } = context;
  const why = flags.why;
  if (why === undefined) {
    throw new CommandError(
      ExitCode.usage,
      "Cannot send a change without a reason: state one with --why for the audit trail",
    );
  }
  const { revision } = await vms.call((client) => client.status());
  const request: ChangeRequest = {
    operation: id<OperationId>(flags.operation ?? randomUUID()),
    seenRevision: revision,
    why,
    change,
  };
  const response = await sendUntilKnown(context, request);
  if (response.kind !== "accepted") {
    output.result(
      response,
      () => output.line(explainFailure(response, request)),
    );
    return exitCodeOf(response);
  }
  if (!flags.wait) {
    output.result(
      response,
      () => output.line(`accepted as revision ${response.revision}`),
    );
    return ExitCode.ok;
  }
  return await waitUntilConfirmed(context, response.revision);
}

/** Retries with the same operation id while the outcome is unknown. */
async function sendUntilKnown(
  { vms }: Context,
  request: ChangeRequest,
): Promise<ChangeResponse> {
  for (let attempt = 1;; attempt++) {
    const response = await vms.call((client) => client.change(request));
    if (response.kind !== "unknown" || attempt === MAX_ATTEMPTS) {
      return response;
    }
    await sleep(response.retryAfterMs);
  }
}

function explainFailure(
  response: Exclude<ChangeResponse, { kind: "accepted" }>,
  request: ChangeRequest,
): string {
  switch (response.kind) {
    case "conflict":
      return `not accepted: ${formatConflict(response.won)}; ` +
        `revision ${response.revision} is in force, review it and retry`;
    case "refused":
      return [
        `refused: ${response.reason}`,
        ...response.findings.map(({ pointer, message }) =>
          `  ${pointer}: ${message}`
        ),
      ].join("\n");
    case "unavailable":
      return `not accepted: ${response.reason}; ` +
        `retry in ${response.retryAfterMs} ms`;
    case "unknown":
      return `outcome unknown: ${response.reason}; ` +
        `retry with --operation ${request.operation}`;
  }
}

function formatConflict(accepted: AuditEntry | undefined): string {
  return accepted === undefined
    ? "another change was accepted first"
    : `the change of ${accepted.who} was accepted first: "${
      formatChange(accepted.change)
    }" (${accepted.why})`;
}

function exitCodeOf(
  response: Exclude<ChangeResponse, { kind: "accepted" }>,
): ExitCode {
  switch (response.kind) {
    case "conflict":
      return ExitCode.conflict;
    case "refused":
      return ExitCode.refused;
    case "unavailable":
      return ExitCode.unavailable;
    case "unknown":
      return ExitCode.unknown;
  }
}
