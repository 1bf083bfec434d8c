/**
 * Makes changes as an operator, through one daemon's operator listener.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import type { Change, Preset } from "@poplarthread/config";
import { id, type OperationId } from "@poplarthread/ids";
import type {
  ChangeResponse,
  OperatorClient,
} from "@poplarthread/operator-api";
import { waitFor } from "./wait.ts";

/** A change and its reason. */
export interface RequestedChange {
  readonly change: Change;
  readonly why: string;
  /** Revision that the operator has seen; the current one by default. */
  readonly seenRevision?: number;
}

/** Largest number of attempts with the same operation id. */
const MAX_ATTEMPTS = 10;

/** Thrown when a change is not accepted. */
export class ChangeError extends Error {
  override readonly name = "ChangeError";
}

/** Sends a change, and retries while the outcome is unknown or the service unavailable. */
export async function submitChange(
  operator: OperatorClient,
  requested: RequestedChange,
): Promise<ChangeResponse> {
  const seenRevision = requested.seenRevision ??
    (await operator.status()).revision;
  const operation = id<OperationId>(randomUUID());
  for (let n = 1;; n++) {
    const response = await operator.change({
      operation,
      seenRevision,
      why: requested.why,
      change: requested.change,
    });
    const isUndecided = response.kind === "unknown" ||
      response.kind === "unavailable";
    if (!isUndecided || n === MAX_ATTEMPTS) {
      return response;
    }
    await sleep(response.retryAfterMs);
  }
}

/** Makes a change and returns its revision; throws {@link ChangeError} if it is not accepted. */
export async function makeChange(
  operator: OperatorClient,
  requested: RequestedChange,
): Promise<number> {
  const response = await submitChange(operator, requested);
  if (response.kind !== "accepted") {
    throw new ChangeError(
      `Cannot make a change: got ${JSON.stringify(response)}`,
    );
  }
  // The next change through this VM must be based on this revision.
  await waitFor(`revision ${response.revision}`, async () => {
    const { revision } = await operator.status();
    return revision >= response.revision;
  });
  return response.revision;
}

/** Waits for a daemon to start and writes the first preset, which is in force immediately. */
export async function writeFirstPreset(
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
