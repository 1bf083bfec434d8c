/**
 * The operator's side of the demo: makes changes through a daemon's operator
 * listener and waits until every VM has them in force.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import type { Change } from "@poplarthread/config";
import { id, type OperationId } from "@poplarthread/ids";
import type { ChangeAnswer } from "@poplarthread/operator-api";
import type { Cluster, OperatorName } from "../cluster/cluster.ts";

/** A change that was accepted, and when every VM had it. */
export interface Accepted {
  readonly revision: number;
  /** From before the change was sent until the slowest VM confirmed. */
  readonly seconds: number;
  /** VMs that did not confirm in time. */
  readonly unconfirmed: readonly string[];
}

const POLL_MS = 50;
const CONFIRM_TIMEOUT_MS = 15_000;
/** An operator tries again this often, with the same operation id. */
const MAX_TRIES = 10;

/** Makes a change through one VM; throws where it is not accepted. */
export async function change(
  cluster: Cluster,
  via: string,
  options: { change: Change; why: string; vms: readonly string[] },
): Promise<Accepted> {
  const startedAt = performance.now();
  const answer = await submit(cluster, via, options);
  if (answer.kind !== "accepted") {
    throw new Error(`Cannot change: ${JSON.stringify(answer)}`);
  }
  const { revision } = answer;
  const unconfirmed = await waitForRevision(cluster, revision, options.vms);
  const seconds = (performance.now() - startedAt) / 1_000;
  return { revision, seconds, unconfirmed };
}

/** Sends a change, also again while the platform does not answer. */
export async function submit(
  cluster: Cluster,
  via: string,
  options: { change: Change; why: string; who?: OperatorName },
): Promise<ChangeAnswer> {
  const operator = cluster.operator(via, options.who);
  const { revision } = await operator.status();
  const operation = id<OperationId>(randomUUID());
  for (let n = 1;; n++) {
    const answer = await operator.change({
      operation,
      seenRevision: revision,
      why: options.why,
      change: options.change,
    });
    const isOver = answer.kind !== "unknown" && answer.kind !== "unavailable";
    if (isOver || n === MAX_TRIES) {
      return answer;
    }
    await sleep(answer.retryAfterMs);
  }
}

/** Waits until each VM runs at least a revision; answers those that don't in time. */
export async function waitForRevision(
  cluster: Cluster,
  revision: number,
  vms: readonly string[],
): Promise<readonly string[]> {
  const until = performance.now() + CONFIRM_TIMEOUT_MS;
  let waiting = [...vms];
  while (waiting.length > 0 && performance.now() < until) {
    const reached = await Promise.all(waiting.map(async (vm) => {
      const status = await cluster.operator(vm).status().catch(() => undefined);
      return (status?.revision ?? 0) >= revision;
    }));
    waiting = waiting.filter((_, index) => !reached[index]);
    if (waiting.length > 0) {
      await sleep(POLL_MS);
    }
  }
  return waiting;
}
