/**
 * An operator at work: makes changes through one daemon's operator listener.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import type { Change, Preset } from "@poplarthread/config";
import { id, type OperationId } from "@poplarthread/ids";
import type { ChangeAnswer, OperatorClient } from "@poplarthread/operator-api";
import { waitFor } from "./wait.ts";

/** A change and its reason. */
export interface Wanted {
  readonly change: Change;
  readonly why: string;
  /** Revision that the operator saw; read first without it. */
  readonly seenRevision?: number;
}

/** An operator asks again this often, with the same operation id. */
const MAX_TRIES = 10;

/** A change was not accepted. */
export class ChangeError extends Error {
  override readonly name = "ChangeError";
}

/** Sends a change, also again while its outcome is open. */
export async function submit(
  operator: OperatorClient,
  wanted: Wanted,
): Promise<ChangeAnswer> {
  const seenRevision = wanted.seenRevision ??
    (await operator.status()).revision;
  const operation = id<OperationId>(randomUUID());
  for (let n = 1;; n++) {
    const answer = await operator.change({
      operation,
      seenRevision,
      why: wanted.why,
      change: wanted.change,
    });
    const isOpen = answer.kind === "unknown" || answer.kind === "unavailable";
    if (!isOpen || n === MAX_TRIES) {
      return answer;
    }
    await sleep(answer.retryAfterMs);
  }
}

/** Sends a change and answers its revision; throws {@link ChangeError} where it is not accepted. */
export async function makeChange(
  operator: OperatorClient,
  wanted: Wanted,
): Promise<number> {
  const answer = await submit(operator, wanted);
  if (answer.kind !== "accepted") {
    throw new ChangeError(`Cannot change: ${JSON.stringify(answer)}`);
  }
  // The next change through this VM must have seen this one.
  await waitFor(`revision ${answer.revision}`, async () => {
    const { revision } = await operator.status();
    return revision >= answer.revision;
  });
  return answer.revision;
}

/** Waits for a daemon that has just started, and writes the first preset: it is in force at once. */
export async function putFirstInForce(
  operator: OperatorClient,
  preset: Preset,
): Promise<void> {
  await waitFor("the operator listener", async () => {
    const status = await operator.status().catch(() => undefined);
    return status !== undefined;
  });
  await makeChange(operator, {
    change: { kind: "edit", preset },
    why: "first preset",
    seenRevision: 0,
  });
}
