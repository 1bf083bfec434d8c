/**
 * Sends a change and says what became of it.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import type { Change } from "@poplarthread/config";
import { id, type OperationId } from "@poplarthread/ids";
import type {
  AuditEntry,
  ChangeAnswer,
  ChangeRequest,
} from "@poplarthread/operator-api";
import type { Context } from "./context.ts";
import { describeChange } from "./describe.ts";
import { CommandError, ExitCode } from "./exit_code.ts";
import { waitUntilConfirmed } from "./wait.ts";

/** Tries of one operation while its outcome is unknown. */
const MAX_TRIES = 3;

/** Sends `change` on top of what is in force now, as this operator sees it. */
export async function sendChange(
  context: Context,
  change: Change,
): Promise<ExitCode> {
  const { flags, output, vms } = context;
  const why = flags.why;
  if (why === undefined) {
    throw new CommandError(
      ExitCode.usage,
      "Cannot change anything without a reason: add --why for the audit trail",
    );
  }
  const { revision } = await vms.ask((client) => client.status());
  const request: ChangeRequest = {
    operation: id<OperationId>(flags.operation ?? randomUUID()),
    seenRevision: revision,
    why,
    change,
  };
  const answer = await sendUntilKnown(context, request);
  if (answer.kind !== "accepted") {
    output.result(answer, () => output.line(explainAnswer(answer, request)));
    return exitCodeOf(answer);
  }
  if (!flags.wait) {
    output.result(
      answer,
      () => output.line(`accepted as revision ${answer.revision}`),
    );
    return ExitCode.ok;
  }
  return await waitUntilConfirmed(context, answer.revision);
}

/** Repeats the very same operation while its outcome is unknown. */
async function sendUntilKnown(
  { vms }: Context,
  request: ChangeRequest,
): Promise<ChangeAnswer> {
  for (let tries = 1;; tries++) {
    const answer = await vms.ask((client) => client.change(request));
    if (answer.kind !== "unknown" || tries === MAX_TRIES) {
      return answer;
    }
    await sleep(answer.retryAfterMs);
  }
}

function explainAnswer(
  answer: Exclude<ChangeAnswer, { kind: "accepted" }>,
  request: ChangeRequest,
): string {
  switch (answer.kind) {
    case "conflict":
      return `not accepted: ${describeWinner(answer.won)}; ` +
        `revision ${answer.revision} is in force, look at it and try again`;
    case "refused":
      return [
        `refused: ${answer.reason}`,
        ...answer.findings.map(({ pointer, message }) =>
          `  ${pointer}: ${message}`
        ),
      ].join("\n");
    case "unavailable":
      return `not accepted: ${answer.reason}; ` +
        `come back in ${answer.retryAfterMs} ms`;
    case "unknown":
      return `outcome unknown: ${answer.reason}; ` +
        `repeat with --operation ${request.operation}`;
  }
}

function describeWinner(won: AuditEntry | undefined): string {
  return won === undefined
    ? "another change came first"
    : `${won.who} came first with "${describeChange(won.change)}" (${won.why})`;
}

function exitCodeOf(
  answer: Exclude<ChangeAnswer, { kind: "accepted" }>,
): ExitCode {
  switch (answer.kind) {
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
