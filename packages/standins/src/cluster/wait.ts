/**
 * Waiting for something that another process does.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";

/** Far above what anything takes: a test's verdict must not depend on speed. */
const DEFAULT_TIMEOUT_MS = 30_000;
const POLL_MS = 50;

/** It did not happen in time. */
export class WaitError extends Error {
  override readonly name = "WaitError";
}

/** Asks again and again until the answer is true; throws {@link WaitError} when time is up. */
export async function waitFor(
  what: string,
  ask: () => Promise<boolean>,
  timeoutMs: number = DEFAULT_TIMEOUT_MS,
): Promise<void> {
  const until = performance.now() + timeoutMs;
  while (!await ask()) {
    if (performance.now() > until) {
      throw new WaitError(`Cannot wait any longer for ${what}`);
    }
    await sleep(POLL_MS);
  }
}
