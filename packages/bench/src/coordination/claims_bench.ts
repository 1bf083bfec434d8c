/**
 * How many keyed requests a second a table's writes carry.
 *
 * @module
 */

import {
  type BatchOptions,
  type ClaimOutcome,
  RequestClaims,
} from "@poplarthread/coordination";
import { id, type IdempotencyKey, type InstanceId } from "@poplarthread/ids";
import { build, type Histogram } from "hdr-histogram-js";
import { LimitedTable, LIMITS, type TableLimits } from "./limited_table.ts";
import { VirtualClock } from "./virtual_clock.ts";

/** Entry VMs of today's larger installation. */
const VMS = 12;
/** How long a request runs at its target. */
const RUN_MS = 50;
const SECONDS = 10;
/** Requests whose caller waits longer than this give up. */
const TIME_LEFT_MS = 5_000;

/** One load. */
export interface ClaimsLoad {
  readonly name: string;
  /** Keyed requests a second, all VMs together. */
  readonly offered: number;
  /** Share of them that repeat an earlier request, through other VMs. */
  readonly repeats: number;
  readonly batch: BatchOptions;
  readonly limits?: Partial<TableLimits>;
  /** Time of an outage, from the third second on. */
  readonly outageMs?: number;
}

/** What was measured. Times in ms. */
export interface ClaimsFigures {
  readonly name: string;
  readonly offeredPerSecond: number;
  readonly grantedPerSecond: number;
  readonly refused: Readonly<Record<string, number>>;
  readonly transactionsPerSecond: number;
  readonly rowsPerSecond: number;
  readonly grantP50Ms: number;
  readonly grantP99Ms: number;
  readonly refuseP99Ms: number;
  /** From the table's return to the first grant; absent without an outage. */
  readonly firstGrantAfterOutageMs?: number;
}

/** Runs one load on a virtual clock. */
export async function measureClaims(load: ClaimsLoad): Promise<ClaimsFigures> {
  const clock = new VirtualClock();
  clock.install();
  try {
    return await run(load, clock);
  } finally {
    clock.restore();
  }
}

async function run(
  load: ClaimsLoad,
  clock: VirtualClock,
): Promise<ClaimsFigures> {
  const table = new LimitedTable({ ...LIMITS, ...load.limits });
  const vms = newVms(table, load.batch);
  const grants = build();
  const refusals = build();
  const refused: Record<string, number> = {};
  const outageEnd = 3_000 + (load.outageMs ?? 0);
  let firstGrant: number | undefined;

  function note(outcome: ClaimOutcome, startedAt: number): void {
    const now = performance.now();
    if (outcome.kind === "granted") {
      record(grants, now - startedAt);
      outcome.grant.dispatch();
      setTimeout(() => outcome.grant.end(ANSWERED), RUN_MS);
      if (now > outageEnd) {
        firstGrant ??= now - outageEnd;
      }
      return;
    }
    record(refusals, now - startedAt);
    const { kind } = outcome.refusal;
    refused[kind] = (refused[kind] ?? 0) + 1;
  }

  function arrive(n: number): void {
    const place = n % 100;
    const isRepeat = place > 0 && place <= load.repeats * 100;
    const request = {
      scope: "caller",
      key: id<IdempotencyKey>(`key-${isRepeat ? n - place : n}`),
      bodyDigest: "body",
      timeLeftMs: TIME_LEFT_MS,
    };
    const startedAt = performance.now();
    const vm = vms[n % VMS]!;
    void vm.claim(request).then((outcome) => note(outcome, startedAt));
  }

  const total = load.offered * SECONDS;
  for (let n = 0; n < total; n++) {
    setTimeout(() => arrive(n), n * 1_000 / load.offered);
  }
  if (load.outageMs !== undefined) {
    setTimeout(() => table.isDown = true, 3_000);
    setTimeout(() => table.isDown = false, outageEnd);
  }
  await clock.runUntil(SECONDS * 1_000);
  const figures: ClaimsFigures = {
    name: load.name,
    offeredPerSecond: load.offered,
    grantedPerSecond: grants.totalCount / SECONDS,
    refused,
    transactionsPerSecond: table.transactions / SECONDS,
    rowsPerSecond: table.rows / SECONDS,
    grantP50Ms: percentile(grants, 50),
    grantP99Ms: percentile(grants, 99),
    refuseP99Ms: percentile(refusals, 99),
  };
  return firstGrant === undefined || load.outageMs === undefined
    ? figures
    : { ...figures, firstGrantAfterOutageMs: Math.round(firstGrant) };
}

const ANSWERED = {
  kind: "answered",
  answer: { status: 201, headers: [], bodyBase64: "T0s=" },
} as const;

function newVms(table: LimitedTable, batch: BatchOptions): RequestClaims[] {
  const vms = new Map<string, RequestClaims>();
  for (let n = 0; n < VMS; n++) {
    const instance = id<InstanceId>(`vm-${n}`);
    const claims = new RequestClaims({
      ...batch,
      table,
      instance,
      holders: {
        ask: (question, waitMs) =>
          vms.get(question.instance)!.answerPeer(question, waitMs),
      },
    });
    vms.set(instance, claims);
  }
  return [...vms.values()];
}

/** Kept in tenths of a millisecond, since the library counts whole numbers. */
function record(histogram: Histogram, ms: number): void {
  histogram.recordValue(Math.round(ms * 10));
}

function percentile(histogram: Histogram, share: number): number {
  return histogram.totalCount === 0
    ? 0
    : histogram.getValueAtPercentile(share) / 10;
}
