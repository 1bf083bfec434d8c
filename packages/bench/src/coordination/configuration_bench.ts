/**
 * How long an accepted change takes until every polling VM runs it, and how
 * long a lease and the configuration take to recover after an outage.
 *
 * @module
 */

import {
  ConfigurationFollower,
  ConfigurationStore,
  Lease,
} from "@poplarthread/coordination";
import { id, type InstanceId, type OperationId } from "@poplarthread/ids";
import { LimitedTable, LIMITS } from "./limited_table.ts";
import { VirtualClock } from "./virtual_clock.ts";

const VMS = 12;
const CHANGES = 200;
/** A change every 1.7 s falls on all phases of the 333 ms polls. */
const CHANGE_EVERY_MS = 1_700;
const LEASE_MS = 3_000;

/** What was measured. Times in ms. */
export interface InForceFigures {
  readonly name: string;
  readonly changes: number;
  readonly inForceEverywhereP50Ms: number;
  readonly inForceEverywhereMaxMs: number;
  readonly readsPerSecond: number;
}

/** Time from the start of an acceptance until the last of 12 polling VMs runs it. */
export async function measureInForce(): Promise<InForceFigures> {
  const clock = new VirtualClock();
  clock.install();
  try {
    return await runInForce(clock);
  } finally {
    clock.restore();
  }
}

async function runInForce(clock: VirtualClock): Promise<InForceFigures> {
  const table = new LimitedTable(LIMITS);
  const store = new ConfigurationStore<string>(table);
  const startedAt: number[] = [];
  const everywhereAt = new Map<number, number>();
  for (let n = 0; n < VMS; n++) {
    const follower = new ConfigurationFollower<string>(store, {
      onEffect: (effect) => {
        if (effect.kind === "adopt") {
          everywhereAt.set(effect.inForce.revision, performance.now());
        }
      },
    });
    setTimeout(() => follower.startPolling(), n * 28);
  }
  for (let n = 0; n < CHANGES; n++) {
    setTimeout(() => {
      startedAt[n + 1] = performance.now();
      void store.accept({ value: `value ${n}` }, {
        seenRevision: n,
        operationId: id<OperationId>(`op-${n}`),
        firstSending: true,
        who: "bench",
        why: "",
      });
    }, n * CHANGE_EVERY_MS);
  }
  const until = CHANGES * CHANGE_EVERY_MS + 1_000;
  await clock.runUntil(until);
  const times = [...everywhereAt]
    .map(([revision, at]) => at - startedAt[revision]!)
    .sort((a, b) => a - b);
  return {
    name: "time to in force, 12 VMs that poll",
    changes: times.length,
    inForceEverywhereP50Ms: Math.round(times[times.length >> 1]!),
    inForceEverywhereMaxMs: Math.round(times[times.length - 1]!),
    readsPerSecond: Math.round(table.reads / (until / 1_000)),
  };
}

/** What was measured after outages. Times in ms. */
export interface RecoveryFigures {
  readonly name: string;
  readonly outages: number;
  readonly configurationKnownCurrentP50Ms: number;
  readonly configurationKnownCurrentMaxMs: number;
  readonly leaseHeldAgainP50Ms: number;
  readonly leaseHeldAgainMaxMs: number;
}

/** Times after one outage, in ms. */
interface Recovery {
  readonly currentAfterMs: number;
  readonly heldAfterMs: number;
}

/** Outages of 60 s and a little more each, so that they end at all phases of polls and beats. */
const OUTAGES = 60;
const OUTAGE_MS = 60_000;
const OUTAGE_STEP_MS = 53;

/** Time from the table's return until the configuration is known to be current and one VM holds the lease. */
export async function measureRecovery(): Promise<RecoveryFigures> {
  const recoveries: Recovery[] = [];
  for (let n = 0; n < OUTAGES; n++) {
    const clock = new VirtualClock();
    clock.install();
    try {
      const outageMs = OUTAGE_MS + n * OUTAGE_STEP_MS;
      recoveries.push(await runRecovery(clock, outageMs));
    } finally {
      clock.restore();
    }
  }
  const current = sorted(recoveries.map((one) => one.currentAfterMs));
  const held = sorted(recoveries.map((one) => one.heldAfterMs));
  return {
    name: "recovery after an outage, 12 VMs",
    outages: OUTAGES,
    configurationKnownCurrentP50Ms: current[OUTAGES >> 1]!,
    configurationKnownCurrentMaxMs: current[OUTAGES - 1]!,
    leaseHeldAgainP50Ms: held[OUTAGES >> 1]!,
    leaseHeldAgainMaxMs: held[OUTAGES - 1]!,
  };
}

function sorted(times: readonly number[]): readonly number[] {
  return times.toSorted((a, b) => a - b);
}

async function runRecovery(
  clock: VirtualClock,
  outageMs: number,
): Promise<Recovery> {
  const table = new LimitedTable(LIMITS);
  const store = new ConfigurationStore<string>(table);
  const follower = new ConfigurationFollower<string>(store, {
    onEffect: () => {},
  });
  follower.startPolling();
  const leases = Array.from({ length: VMS }, (_, n) => {
    const instance = id<InstanceId>(`vm-${n}`);
    const contender = { name: "planner", instance, durationMs: LEASE_MS };
    const lease = new Lease(table, contender);
    setTimeout(() => lease.start(), n * 83);
    return lease;
  });
  void store.accept({ value: "value" }, {
    seenRevision: 0,
    operationId: id<OperationId>("op"),
    who: "bench",
    why: "",
  });
  await clock.runUntil(10_000);
  table.isDown = true;
  await clock.runUntil(10_000 + outageMs);
  table.isDown = false;
  const returnedAt = performance.now();
  let currentAfter: number | undefined;
  let heldAfter: number | undefined;
  while (currentAfter === undefined || heldAfter === undefined) {
    await clock.runUntil(performance.now() + 10);
    const passed = performance.now() - returnedAt;
    if (follower.ageMs < passed) {
      currentAfter ??= passed;
    }
    if (leases.some(({ token }) => token !== undefined)) {
      heldAfter ??= passed;
    }
  }
  return { currentAfterMs: currentAfter, heldAfterMs: heldAfter };
}
