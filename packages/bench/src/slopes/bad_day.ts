/**
 * A fleet of which all start at once, and one that loses a whole zone: cores on
 * a virtual clock.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { type Fit, fitLine, rounded } from "./fit.ts";
import { memberAt, MembershipFleet } from "./fleet.ts";

const ZONES = 25;
const STEP_MS = 1_000;
const LIMIT_MS = 120_000;
const SETTLE_MS = 20_000;

interface BadDayFigures {
  readonly members: number;
  /** All start at once with the platform's list: until all know all instances. */
  readonly bootSeconds: number;
  readonly bootBytesPerMember: number;
  /** One zone of 25 dies at once: until all others hold all its members dead. */
  readonly zoneLossSeconds: number;
  readonly zoneLossBytesPerMember: number;
}

/** All sizes and the lines through them. */
export interface BadDayReport {
  readonly how: string;
  readonly sizes: readonly BadDayFigures[];
  readonly perMember: Readonly<Record<string, Fit>>;
}

/** Measures fleets of several sizes. */
export function measureBadDay(quick: boolean): BadDayReport {
  const figures = (quick ? [25, 50, 75] : [50, 100, 200, 400, 800])
    .map(measureFleet);
  const fitted = [
    "bootSeconds",
    "bootBytesPerMember",
    "zoneLossSeconds",
    "zoneLossBytesPerMember",
  ] as const;
  const perMember = Object.fromEntries(fitted.map((name) => [
    name,
    fitLine(figures.map((at) => ({ x: at.members, y: at[name] }))),
  ]));
  const how =
    `production cores on a virtual clock; seconds by steps of ${STEP_MS} ms, -1 after ${LIMIT_MS}`;
  return { how, sizes: figures, perMember };
}

function measureFleet(members: number): BadDayFigures {
  const boot = measureUntil(
    new MembershipFleet(members, { knowsItself: false }),
    (fleet) =>
      [...fleet.cores.values()].every((core) =>
        core.members().every(({ instance }) => instance !== "")
      ),
  );
  const fleet = new MembershipFleet(members, { knowsItself: true });
  fleet.net.run(SETTLE_MS);
  const dead = Array.from({ length: members }, (_, n) => n)
    .filter((n) => n % ZONES === 0)
    .map((n) => memberAt(n).vm);
  dead.forEach((vm) => {
    fleet.net.kill(vm);
    fleet.cores.delete(vm);
  });
  const loss = measureUntil(
    fleet,
    ({ cores }) =>
      [...cores.values()].every((core) =>
        dead.every((vm) => core.member(vm)?.state === "dead")
      ),
  );
  return {
    members,
    bootSeconds: boot.seconds,
    bootBytesPerMember: rounded(boot.bytes / members),
    zoneLossSeconds: loss.seconds,
    zoneLossBytesPerMember: rounded(loss.bytes / members),
  };
}

function measureUntil(
  fleet: MembershipFleet,
  isDone: (fleet: MembershipFleet) => boolean,
): { seconds: number; bytes: number } {
  let bytes = 0;
  fleet.onSend = (message) => {
    bytes += Buffer.byteLength(JSON.stringify(message));
  };
  const start = fleet.net.now;
  while (!isDone(fleet)) {
    if (fleet.net.now - start >= LIMIT_MS) {
      return { seconds: -1, bytes };
    }
    fleet.net.run(STEP_MS);
  }
  return { seconds: (fleet.net.now - start) / 1_000, bytes };
}
