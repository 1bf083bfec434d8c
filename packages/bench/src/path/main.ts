/**
 * The experiment `path`: the daemon beside baselines in one run, as ratios,
 * since absolute figures say more of the machine than of the daemon.
 *
 * @module
 */

import meow from "meow";
import process from "node:process";
import { LOOKUP_PATH } from "@poplarthread/standins";
import { measureChurn } from "./churn.ts";
import type { LoadResult } from "./roles.ts";
import { lookupAnswer, type Server, System } from "./system.ts";
import { processorSeconds, residentMegabytes } from "./usage.ts";

/** Requests a second of the proxy, against the bare pass-through's. */
const PROXY_BAR = 0.7;
/** Look-ups a second, against those of a handler that answers a constant. */
const LOOKUP_BAR = 0.8;
/** Rounds, in each of which all are measured in turn: neighbours' load hits all alike. */
const ROUNDS = 5;
const PROXY_CONNECTIONS = 64;
/** A caller is slower than a look-up, so two processes make the load of look-ups. */
const LOOKUP_PROCESSES = 2;
const LOOKUP_CONNECTIONS = 32;
/** Share of the pass-through's rate at which added latency is measured. */
const LATENCY_LOAD = 0.3;

/** One measured phase. */
interface Phase {
  readonly perSecond: number;
  readonly failed: number;
  readonly microsecondsPerRequest: number;
  /** Share of one core that the server used: far below 1, the load was the bottleneck. */
  readonly cores: number;
  readonly latencyMs: LoadResult["latencyMs"];
}

/** Runs the experiment with its own arguments. */
export async function run(args: readonly string[]): Promise<void> {
  const cli = meow(
    `
  Usage
    $ npm run bench -- path [options]

  Options
    --seconds N        length of each phase (default 3)
    --churn-seconds N  length of the churn (default 20)
    --profile DIR      write the daemon's processor profile to DIR
`,
    {
      importMeta: import.meta,
      argv: args,
      flags: {
        seconds: { type: "number", default: 3 },
        churnSeconds: { type: "number", default: 20 },
        profile: { type: "string" },
      },
    },
  );
  const { seconds, churnSeconds, profile } = cli.flags;
  const system = await System.start();
  try {
    const report = await measure(system, { seconds, churnSeconds, profile });
    console.log(JSON.stringify(report, undefined, 2));
  } finally {
    await system.stop();
  }
}

async function measure(
  system: System,
  options: {
    seconds: number;
    churnSeconds: number;
    profile: string | undefined;
  },
) {
  const target = await system.startTarget();
  const nodeOptions = options.profile === undefined
    ? []
    : ["--cpu-prof", `--cpu-prof-dir=${options.profile}`];
  const daemon = await system.startDaemon(nodeOptions);
  const passThrough = await system.startPassThrough(target.url);
  const constant = await system.startConstant(await lookupAnswer(daemon));
  const { seconds } = options;
  const proxy = await compare(
    () => proxyPhase(system, daemon, seconds),
    () => proxyPhase(system, passThrough, seconds),
  );
  const lookup = await compare(
    () => lookupPhase(system, daemon, seconds),
    () => lookupPhase(system, constant, seconds),
  );
  const rate = Math.round(
    median(proxy.baselines.map(({ perSecond }) => perSecond)) * LATENCY_LOAD,
  );
  const load = { seconds, rate };
  const direct = await latencyPhase(system, target, load);
  const latency = {
    perSecond: rate,
    direct: direct.latencyMs,
    addedByPassThrough: added(
      direct,
      await latencyPhase(system, passThrough, load),
    ),
    addedByDaemon: added(direct, await latencyPhase(system, daemon, load)),
  };
  const underLoadMb = residentMegabytes(daemon.pid);
  const churn = await measureChurn(system, daemon, options.churnSeconds);
  if (options.profile !== undefined) {
    await system.stopDaemon();
  }
  const bars = [
    bar("proxy", proxy.ratio, PROXY_BAR),
    bar("look-up", lookup.ratio, LOOKUP_BAR),
  ];
  return {
    node: process.version,
    seconds,
    proxy: summary(proxy),
    lookup: summary(lookup),
    latency,
    memory: { underLoadMb, churn },
    bars,
  };
}

/** Phases of the daemon and of its baseline, in turn. */
async function compare(
  daemon: () => Promise<Phase>,
  baseline: () => Promise<Phase>,
) {
  const daemons: Phase[] = [];
  const baselines: Phase[] = [];
  // The first round warms both up and is not counted.
  await daemon();
  await baseline();
  for (let n = 0; n < ROUNDS; n++) {
    daemons.push(await daemon());
    baselines.push(await baseline());
  }
  const ratios = daemons.map((phase, index) =>
    phase.perSecond / baselines[index]!.perSecond
  );
  return { daemons, baselines, ratios, ratio: median(ratios) };
}

function summary({ daemons, baselines, ratios, ratio }: Awaited<
  ReturnType<typeof compare>
>) {
  return {
    ratio,
    ratios,
    processorTimeRatio: median(
      daemons.map(({ microsecondsPerRequest }) => microsecondsPerRequest),
    ) / median(
      baselines.map(({ microsecondsPerRequest }) => microsecondsPerRequest),
    ),
    daemon: middle(daemons),
    baseline: middle(baselines),
    failed: daemons.reduce((sum, { failed }) => sum + failed, 0),
  };
}

async function proxyPhase(
  system: System,
  server: Server,
  seconds: number,
): Promise<Phase> {
  const before = processorSeconds(server.pid);
  const result = await system.load({
    url: server.url,
    path: "/page",
    seconds,
    connections: PROXY_CONNECTIONS,
  });
  return phaseOf([result], processorSeconds(server.pid) - before);
}

async function lookupPhase(
  system: System,
  server: Server,
  seconds: number,
): Promise<Phase> {
  const before = processorSeconds(server.pid);
  const results = await Promise.all(
    Array.from({ length: LOOKUP_PROCESSES }, () =>
      system.load({
        url: server.url,
        path: LOOKUP_PATH,
        seconds,
        connections: LOOKUP_CONNECTIONS,
      })),
  );
  return phaseOf(results, processorSeconds(server.pid) - before);
}

async function latencyPhase(
  system: System,
  server: Server,
  { seconds, rate }: { seconds: number; rate: number },
): Promise<LoadResult> {
  return await system.load({
    url: server.url,
    path: "/page",
    seconds: seconds * 2,
    connections: PROXY_CONNECTIONS,
    perSecond: rate,
  });
}

/** What stands before the target adds, in milliseconds. */
function added(direct: LoadResult, through: LoadResult) {
  return {
    p50: through.latencyMs.p50 - direct.latencyMs.p50,
    p99: through.latencyMs.p99 - direct.latencyMs.p99,
    failed: through.failed,
  };
}

function phaseOf(results: readonly LoadResult[], processor: number): Phase {
  const requests = results.reduce((sum, { requests }) => sum + requests, 0);
  const perSecond = results.reduce((sum, { perSecond }) => sum + perSecond, 0);
  return {
    perSecond,
    failed: results.reduce((sum, { failed }) => sum + failed, 0),
    microsecondsPerRequest: processor / requests * 1_000_000,
    cores: processor / (requests / perSecond),
    latencyMs: results[0]!.latencyMs,
  };
}

function middle(phases: readonly Phase[]): Phase {
  const sorted = phases.toSorted((a, b) => a.perSecond - b.perSecond);
  return sorted[Math.floor(sorted.length / 2)]!;
}

function median(values: readonly number[]): number {
  return values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)]!;
}

function bar(name: string, ratio: number, atLeast: number) {
  return { name, ratio, atLeast, isMet: ratio >= atLeast };
}
