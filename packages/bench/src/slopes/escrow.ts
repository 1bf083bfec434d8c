/**
 * Cost of slot escrow against pools, for a group of twelve owners: cores on a
 * virtual clock.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import process from "node:process";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  Escrow,
  type EscrowMessage,
  nextPlan,
  type PoolId,
} from "@poplarthread/coordination";
import { VirtualNet } from "@poplarthread/coordination/virtual";
import { id } from "@poplarthread/ids";
import { type Fit, fitLine, rounded } from "./fit.ts";
import { delayBetween, memberAt } from "./fleet.ts";

const OWNERS = 12;
const SLOTS = 6;
const WINDOW_MS = 30_000;
/** Pools for which each owner wants two slots more than it has. */
const BORROWING_EVERY = 10;

interface EscrowFigures {
  readonly pools: number;
  readonly idleBytesPerSecond: number;
  readonly borrowingBytesPerSecond: number;
  readonly idleCpuPerMille: number;
  readonly borrowingCpuPerMille: number;
}

/** All sizes and the lines through them. */
export interface EscrowReport {
  readonly how: string;
  readonly sizes: readonly EscrowFigures[];
  readonly perPool: Readonly<Record<string, Fit>>;
}

/** Measures groups with several numbers of pools. */
export function measureEscrow(quick: boolean): EscrowReport {
  const figures = (quick ? [5, 10, 20] : [10, 20, 40, 80, 160]).map(
    measureGroup,
  );
  const fitted: readonly (keyof EscrowFigures)[] = [
    "idleBytesPerSecond",
    "borrowingBytesPerSecond",
    "idleCpuPerMille",
    "borrowingCpuPerMille",
  ];
  const perPool = Object.fromEntries(fitted.map((name) => [
    name,
    fitLine(figures.map((at) => ({ x: at.pools, y: at[name] }))),
  ]));
  const how =
    `production cores on a virtual clock, ${OWNERS} owners, ${SLOTS} slots a pool; borrowing: each owner lacks 2 slots in one pool of ${BORROWING_EVERY}`;
  return { how, sizes: figures, perPool };
}

function measureGroup(pools: number): EscrowFigures {
  let bytes = 0;
  const net = new VirtualNet<EscrowMessage>({
    random: xoroshiro128plus(3),
    tickMs: 100,
    delay: delayBetween,
    onSend: (_from, _to, message) => {
      bytes += Buffer.byteLength(JSON.stringify(message));
    },
  });
  const owners = Array.from({ length: OWNERS }, (_, n) => memberAt(n));
  const ids = Array.from(
    { length: pools },
    (_, n) => id<PoolId>(`portal-zilina-${String(n).padStart(4, "0")}`),
  );
  const plan = nextPlan(undefined, {
    owners,
    pools: ids.map((pool) => ({ pool, total: SLOTS })),
    settled: false,
  });
  const cores = owners.map((self) => {
    const core = new Escrow({ self });
    net.add(self.vm, core);
    net.apply(self.vm, core.adopt(plan, 0));
    return { vm: self.vm, core };
  });
  net.run(5_000);

  function perOwnerSecond(): { bytes: number; cpuPerMille: number } {
    bytes = 0;
    const before = process.cpuUsage();
    net.run(WINDOW_MS);
    const { user, system } = process.cpuUsage(before);
    const seconds = OWNERS * WINDOW_MS / 1_000;
    return {
      bytes: rounded(bytes / seconds),
      cpuPerMille: rounded((user + system) / 1_000 / seconds),
    };
  }

  const idle = perOwnerSecond();
  for (const [n, { vm, core }] of cores.entries()) {
    ids.filter((_, at) => (at + n) % BORROWING_EVERY === 0).forEach((pool) => {
      const wanted = core.held(pool, net.now) + 2;
      net.apply(vm, core.want(pool, wanted, net.now));
    });
  }
  net.run(5_000);
  const borrowing = perOwnerSecond();
  return {
    pools,
    idleBytesPerSecond: idle.bytes,
    borrowingBytesPerSecond: borrowing.bytes,
    idleCpuPerMille: idle.cpuPerMille,
    borrowingCpuPerMille: borrowing.cpuPerMille,
  };
}
