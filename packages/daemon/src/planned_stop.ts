/**
 * The planned stop, in which a VM leaves without breaking any request.
 *
 * Callers may use this VM for as long as they may cache a look-up response that
 * names it, so it serves requests for that long after every VM has received the
 * notice that it leaves.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import type { Log } from "./log.ts";

/**
 * Longest time until every VM has received a leaving notice and stops naming that
 * VM, as guaranteed by membership.
 */
const MAX_PROPAGATION_MS = 2_000;
/** Time in which responses with `connection: close` end the keep-alive connections. */
const CONNECTION_CLOSE_MS = 500;
/** Time beyond the longest deadline in which the last responses are sent. */
const LAST_RESPONSES_MS = 1_000;
/** Longest wait for the outcomes of keyed requests to be written to the table. */
const MAX_OUTCOMES_WAIT_MS = 5_000;
const OUTCOMES_POLL_INTERVAL_MS = 50;

/** Operations of the daemon that a planned stop uses. */
export interface StopSteps {
  /** Removes this VM from its own look-up responses and notifies peers and the platform. */
  announce(): void;
  /** How long callers may cache a look-up response. */
  lifetimeMs(): number;
  /** The longest deadline that a request in flight can have. */
  longestDeadlineMs(): number;
  /** Makes each further response end its connection. */
  closeConnectionsAfterResponse(): void;
  /** Stops accepting connections. */
  stopAccepting(): void;
  /** Resolves when no request is in flight. */
  waitForRequests(): Promise<void>;
  /** Number of outcomes of keyed requests that are not yet in the table. */
  pendingOutcomes(): number;
  /** Returns borrowed slots, releases the lease and closes everything. */
  release(): Promise<void>;
}

/** Runs a planned stop; resolves when everything is closed. */
export async function runPlannedStop(
  steps: StopSteps,
  log: Log,
): Promise<void> {
  log.info("planned stop begins");
  steps.announce();
  await sleep(steps.lifetimeMs() + MAX_PROPAGATION_MS);
  steps.closeConnectionsAfterResponse();
  await sleep(CONNECTION_CLOSE_MS);
  steps.stopAccepting();
  const timeout = new AbortController();
  await Promise.race([
    steps.waitForRequests(),
    sleep(steps.longestDeadlineMs() + LAST_RESPONSES_MS, undefined, {
      signal: timeout.signal,
    }).catch(() => undefined),
  ]);
  timeout.abort();
  await waitForOutcomes(steps);
  await steps.release();
  log.info("planned stop ends");
}

async function waitForOutcomes(steps: StopSteps): Promise<void> {
  const deadlineAt = performance.now() + MAX_OUTCOMES_WAIT_MS;
  while (steps.pendingOutcomes() > 0 && performance.now() < deadlineAt) {
    await sleep(OUTCOMES_POLL_INTERVAL_MS);
  }
}
