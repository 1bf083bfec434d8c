/**
 * The planned stop: a VM leaves without cutting anyone off.
 *
 * Callers may use this VM for as long as they may cache an answer that names
 * it, so it serves on for that long after the last VM has heard that it leaves.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import type { Log } from "./log.ts";

/**
 * Longest time until every VM has heard that one leaves, and stops naming it,
 * in milliseconds: what membership promises.
 */
const SPREAD_MS = 2_000;
/** Time for answers that say `connection: close` to end kept connections. */
const CLOSING_MS = 500;
/** Beyond the longest deadline, for the last answers to get out. */
const LAST_ANSWERS_MS = 1_000;
/** Longest wait for outcomes of keyed requests to reach the table. */
const OUTCOMES_MS = 5_000;
const OUTCOMES_POLL_MS = 50;

/** What a planned stop asks of the daemon. */
export interface StopSteps {
  /** Look-ups of this VM stop naming it; peers and the platform are told. */
  announce(): void;
  /** How long callers may cache a look-up's answer. */
  lifetimeMs(): number;
  /** The longest deadline that a request in flight can have. */
  longestDeadlineMs(): number;
  /** Each answer ends its connection from now on. */
  endKeptConnections(): void;
  /** Takes no new connections. */
  stopAccepting(): void;
  /** Settles when no request is in flight. */
  requestsOver(): Promise<void>;
  /** Outcomes of keyed requests that the table has not got yet. */
  pendingOutcomes(): number;
  /** Gives back what was borrowed, releases the lease, closes everything. */
  release(): Promise<void>;
}

/** Runs a planned stop; settles when nothing is left. */
export async function stopAsPlanned(steps: StopSteps, log: Log): Promise<void> {
  log.info("planned stop begins");
  steps.announce();
  await sleep(steps.lifetimeMs() + SPREAD_MS);
  steps.endKeptConnections();
  await sleep(CLOSING_MS);
  steps.stopAccepting();
  const bound = new AbortController();
  await Promise.race([
    steps.requestsOver(),
    sleep(steps.longestDeadlineMs() + LAST_ANSWERS_MS, undefined, {
      signal: bound.signal,
    }).catch(() => undefined),
  ]);
  bound.abort();
  await outcomesWritten(steps);
  await steps.release();
  log.info("planned stop ends");
}

async function outcomesWritten(steps: StopSteps): Promise<void> {
  const until = performance.now() + OUTCOMES_MS;
  while (steps.pendingOutcomes() > 0 && performance.now() < until) {
    await sleep(OUTCOMES_POLL_MS);
  }
}
