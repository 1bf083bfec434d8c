/**
 * Reports on held-back requests: what one VM knows of a fingerprint, and which of
 * many reports go into one datagram.
 *
 * @module
 */

import type { Fingerprint, TargetRun } from "./held_back_types.ts";

/** What a VM knows of one fingerprint. Ages are as of the time of the report. */
export interface HeldBackReport {
  readonly fingerprint: Fingerprint;
  /** The runs of targets that crashed with the request in flight. */
  readonly crashes: readonly {
    readonly run: TargetRun;
    readonly ageMs: number;
  }[];
  /** Time since a target completed the request; undefined if none is known. */
  readonly completedAgeMs?: number;
}

/** Crashes in one report at most: those are enough for the longest hold. */
const MAX_CRASHES_IN_REPORT = 7;

/**
 * Chooses reports with at most `maxCrashes` crashes among `candidates`, newest
 * first: half of them those with the most crashes, newest first, the others in
 * turns.
 */
export function chooseReports(
  candidates: readonly HeldBackReport[],
  { maxCrashes, turn }: { readonly maxCrashes: number; readonly turn: number },
): readonly HeldBackReport[] {
  const all = candidates.map(shortened);
  const urgent = all.toSorted((a, b) => b.crashes.length - a.crashes.length);
  const first = takeWithin(urgent, maxCrashes / 2);
  const rest = all.filter((report) => !first.includes(report));
  const start = rest.length === 0 ? 0 : turn % rest.length;
  const rotated = [...rest.slice(start), ...rest.slice(0, start)];
  return [...first, ...takeWithin(rotated, maxCrashes - totalSize(first))];
}

/** The first reports that have at most `maxCrashes` crashes together. */
function takeWithin(
  reports: readonly HeldBackReport[],
  maxCrashes: number,
): readonly HeldBackReport[] {
  const taken: HeldBackReport[] = [];
  let left = maxCrashes;
  for (const report of reports) {
    left -= sizeOf(report);
    if (left < 0) {
      break;
    }
    taken.push(report);
  }
  return taken;
}

function shortened(report: HeldBackReport): HeldBackReport {
  const newest = report.crashes.toSorted((a, b) => a.ageMs - b.ageMs);
  return { ...report, crashes: newest.slice(0, MAX_CRASHES_IN_REPORT) };
}

function totalSize(reports: readonly HeldBackReport[]): number {
  return reports.reduce((sum, report) => sum + sizeOf(report), 0);
}

/** A report that only tells of a completion takes as much room as one with a crash. */
function sizeOf({ crashes }: HeldBackReport): number {
  return Math.max(1, crashes.length);
}
