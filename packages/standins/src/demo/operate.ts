/**
 * A change in the demo, and the time until every VM has it in force.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import type { Cluster } from "../cluster/cluster.ts";
import { makeChange, type Wanted } from "../cluster/operate.ts";

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

/** Makes a change through one VM and waits for all; throws where it is not accepted. */
export async function change(
  cluster: Cluster,
  via: string,
  { wanted, vms }: { wanted: Wanted; vms: readonly string[] },
): Promise<Accepted> {
  const startedAt = performance.now();
  const revision = await makeChange(cluster.operator(via), wanted);
  const unconfirmed = await waitForRevision(cluster, revision, vms);
  const seconds = (performance.now() - startedAt) / 1_000;
  return { revision, seconds, unconfirmed };
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
