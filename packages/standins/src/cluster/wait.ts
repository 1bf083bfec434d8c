/**
 * Waits for a condition that another process brings about.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";

/** Much longer than any expected wait, so that no test result depends on the machine's speed. */
const DEFAULT_TIMEOUT_MS = 30_000;
const POLL_INTERVAL_MS = 50;

/** Thrown when a condition is not met before the timeout. */
export class WaitError extends Error {
  override readonly name = "WaitError";
}

/** Polls until `condition` returns true; throws {@link WaitError} after `timeoutMs`. */
export async function waitFor(
  description: string,
  condition: () => Promise<boolean>,
  timeoutMs: number = DEFAULT_TIMEOUT_MS,
): Promise<void> {
  const deadlineAt = performance.now() + timeoutMs;
  while (!await condition()) {
    if (performance.now() > deadlineAt) {
      throw new WaitError(`Timed out while waiting for ${description}`);
    }
    await sleep(POLL_INTERVAL_MS);
  }
}
