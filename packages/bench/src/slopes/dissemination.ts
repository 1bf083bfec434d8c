/**
 * Time and cost of a change on its way to all, and reads of the table, against
 * members: cores on a virtual clock.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import process from "node:process";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  type DisseminatedChange,
  Dissemination,
  type DisseminationMessage,
  readersOf,
} from "@poplarthread/coordination";
import { VirtualNet } from "@poplarthread/coordination/virtual";
import { type Fit, fitLine, rounded } from "./fit.ts";
import { delayBetween, memberAt } from "./fleet.ts";

const SEED = 9;
/** Characters of one change: a preset of today as JSON. */
const CHANGE_CHARACTERS = 3_000;
const CHANGES = 20;
/** One VM in so many has just died, and nobody knows it yet. */
const DEAD_EVERY = 100;
/** Reads a second of one reader: one poll each second. */
const POLLS_PER_SECOND = 1;

interface DisseminationFigures {
  readonly members: number;
  readonly knownToAllMs: number;
  readonly knownToAllWithDeadMs: number;
  readonly messagesPerMemberAndChange: number;
  readonly bytesPerMemberAndChange: number;
  /** Sent by the busiest member. */
  readonly busiestBytesPerChange: number;
  readonly cpuUsPerMemberAndChange: number;
  readonly readers: number;
  readonly tableReadsPerSecond: number;
}

/** All sizes and the lines through them. */
export interface DisseminationReport {
  readonly how: string;
  readonly sizes: readonly DisseminationFigures[];
  readonly perMember: Readonly<Record<string, Fit>>;
}

/** Measures fleets of several sizes. */
export function measureDissemination(quick: boolean): DisseminationReport {
  const sizes = quick
    ? [3, 12, 48]
    : [3, 6, 12, 24, 48, 100, 300, 1_000, 3_000, 6_000];
  const figures = sizes.map(measureFleet);
  const fitted: readonly (keyof DisseminationFigures)[] = [
    "knownToAllMs",
    "bytesPerMemberAndChange",
    "busiestBytesPerChange",
    "cpuUsPerMemberAndChange",
    "tableReadsPerSecond",
  ];
  const perMember = Object.fromEntries(fitted.map((name) => [
    name,
    fitLine(figures.map((at) => ({ x: at.members, y: at[name] }))),
  ]));
  const how =
    `production cores on a virtual clock, ${CHANGE_CHARACTERS} characters a change, one in ${DEAD_EVERY} dead unnoticed where said`;
  return { how, sizes: figures, perMember };
}

function measureFleet(size: number): DisseminationFigures {
  const fleet = new Fleet(size);
  const times: number[] = [];
  const before = process.cpuUsage();
  for (let revision = 1; revision <= CHANGES; revision++) {
    times.push(fleet.change(revision));
  }
  const { user, system } = process.cpuUsage(before);
  const total = [...fleet.sentBytes.values()].reduce((a, b) => a + b, 0);
  const busiest = Math.max(...fleet.sentBytes.values());
  const { messages } = fleet;
  const readers = fleet.readers.length;
  const withDead: number[] = [];
  fleet.killSome();
  for (let revision = CHANGES + 1; revision <= 2 * CHANGES; revision++) {
    withDead.push(fleet.change(revision));
  }
  return {
    members: size,
    knownToAllMs: Math.max(...times),
    knownToAllWithDeadMs: Math.max(...withDead),
    messagesPerMemberAndChange: rounded(messages / size / CHANGES),
    bytesPerMemberAndChange: rounded(total / size / CHANGES),
    busiestBytesPerChange: rounded(busiest / CHANGES),
    cpuUsPerMemberAndChange: rounded((user + system) / size / CHANGES),
    readers,
    tableReadsPerSecond: readers * POLLS_PER_SECOND,
  };
}

class Fleet {
  readonly cores = new Map<string, Dissemination>();
  readonly sentBytes = new Map<string, number>();
  readonly readers: readonly string[];
  messages = 0;
  readonly #net: VirtualNet<DisseminationMessage>;
  readonly #size: number;
  #applied = 0;

  constructor(size: number) {
    this.#size = size;
    this.#net = new VirtualNet<DisseminationMessage>({
      random: xoroshiro128plus(SEED),
      tickMs: 100,
      delay: delayBetween,
      onSend: (from, _to, message) => this.#count(from, message),
      onEffect: (_vm, effect) => {
        this.#applied += effect.kind === "apply" ? 1 : 0;
      },
    });
    const members = Array.from({ length: size }, (_, n) => memberAt(n));
    for (const self of members) {
      const core = new Dissemination({ self });
      core.setMembers(members);
      this.cores.set(self.vm, core);
      this.#net.add(self.vm, core);
    }
    const zones = new Set(members.map(({ zone }) => zone));
    this.readers = [...zones].flatMap((zone) => readersOf(zone, members));
    this.#net.run(200);
  }

  /** Makes a change at a reader and returns the time until all live members have it, in ms. */
  change(revision: number): number {
    const change: DisseminatedChange = {
      from: 0,
      revision,
      digest: "0123456789abcdef",
      body: "x".repeat(CHANGE_CHARACTERS),
    };
    const alive = this.readers.filter((vm) => this.cores.has(vm));
    const vm = alive[revision % alive.length]!;
    const core = this.cores.get(vm)!;
    const start = this.#net.now;
    this.#applied = 0;
    this.#net.apply(vm, core.originate(change, start));
    this.#net.run(30_000, () => this.#applied >= this.cores.size);
    const took = this.#net.now - start;
    this.#net.run(1_000);
    return this.#applied >= this.cores.size ? took : -1;
  }

  /** Kills some; the trees of the others go on naming them. */
  killSome(): void {
    for (let n = 0; n < this.#size; n += DEAD_EVERY) {
      const { vm } = memberAt(n);
      this.#net.kill(vm);
      this.cores.delete(vm);
    }
  }

  #count(from: string, message: DisseminationMessage): void {
    this.messages += 1;
    const bytes = Buffer.byteLength(JSON.stringify(message));
    this.sentBytes.set(from, (this.sentBytes.get(from) ?? 0) + bytes);
  }
}
