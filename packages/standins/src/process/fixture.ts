/**
 * Shared fixture of the tests with real processes: a small cluster that is always
 * stopped, and a check of the guarantees that must hold despite any failure.
 *
 * @module
 */

import { expect } from "vitest";
import type { Caller, SendResult } from "../caller/caller.ts";
import { MIXES, type RequestKind } from "../caller/request_kind.ts";
import { Cluster, type ClusterOptions } from "../cluster/cluster.ts";
import { countViolations, type Violations } from "../cluster/violations.ts";
import { waitFor } from "../cluster/wait.ts";

/** One VM per region and few targets: enough for every failure, and quick to start. */
const SMALL_CLUSTER: ClusterOptions = {
  deployment: "kinolenta",
  vms: 3,
  maxTargetsPerRegion: 2,
};

/** Timeout of one test; far above any test's duration, since tests wait for events. */
export const TEST_TIMEOUT_MS = 120_000;

/** A running cluster, and callers that know all its VMs. */
export interface Fixture {
  readonly cluster: Cluster;
  readonly vms: readonly string[];
  /** Creates callers at a VM's location; {@link expectNoViolations} includes their results. */
  createCaller(vm: string): Caller;
  /** Compares what targets ran with the results of all callers. */
  countViolations(): Promise<Violations>;
}

/** Runs `body` on a cluster and stops the cluster; keeps the logs if `body` fails. */
export async function withCluster(
  body: (fixture: Fixture) => Promise<void>,
  options: Partial<ClusterOptions> = {},
): Promise<void> {
  const cluster = await Cluster.start({ ...SMALL_CLUSTER, ...options });
  const callers: Caller[] = [];
  const vms = cluster.layout.vms.map(({ id }) => id);
  const fixture: Fixture = {
    cluster,
    vms,
    createCaller(vm) {
      const caller = cluster.createCaller(`caller-${callers.length}`, vm, vms);
      callers.push(caller);
      return caller;
    },
    async countViolations() {
      const results = callers.map((caller) => caller.results.report());
      return countViolations(await cluster.readRuns(), results);
    },
  };
  let hasPassed = false;
  try {
    await waitUntilServing(fixture);
    await body(fixture);
    hasPassed = true;
  } finally {
    await Promise.all(callers.map((caller) => caller.close()));
    await cluster.stop({ keepLogs: !hasPassed });
    if (!hasPassed) {
      console.error(`The daemons' logs are in ${cluster.dir}`);
    }
  }
}

/** Waits until each VM has slots and serves, so that failures hit a running deployment. */
async function waitUntilServing(
  { cluster, vms, createCaller }: Fixture,
) {
  const caller = createCaller(vms[0]!);
  for (const vm of vms) {
    const via = cluster.callerAddress(vm);
    for (const kind of [PLAYLIST, BOOKING]) {
      await waitFor(`${vm} to serve`, async () => {
        const { outcome } = await caller.send(kind, { via, maxAttempts: 1 });
        return outcome === "served";
      });
    }
  }
}

/** Expects that nothing ran twice, no `not-run` was false, and each response was complete and correct. */
export async function expectNoViolations(fixture: Fixture): Promise<void> {
  expect(await fixture.countViolations()).toEqual({
    ranTwice: 0,
    falseNotRun: 0,
    partialResponses: 0,
    wrongResponses: 0,
    servedNotRun: 0,
  });
}

/** A booking: runs at most once and has an idempotency key. */
export const BOOKING = findKind("booking");
/** A playlist: idempotent. */
export const PLAYLIST = findKind("playlist");

/** Returns a copy of `kind` whose work takes `workMs`. */
export function withWorkMs(kind: RequestKind, workMs: number): RequestKind {
  return { ...kind, workMs };
}

/** Counts the results by outcome. */
export function countOutcomes(
  results: readonly SendResult[],
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const { outcome } of results) {
    counts[outcome] = (counts[outcome] ?? 0) + 1;
  }
  return counts;
}

function findKind(name: string): RequestKind {
  return MIXES.kinolenta.find((kind) => kind.name === name)!;
}
