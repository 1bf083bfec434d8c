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
  /** The runs of targets that crashed with the request in flight, or the newest of them. */
  readonly crashes: readonly {
    readonly run: TargetRun;
    readonly ageMs: number;
  }[];
  /** Number of all crashes; that of the listed ones by default. */
  readonly count?: number;
  /** Time since a target completed the request; undefined if none is known. */
  readonly completedAgeMs?: number;
}

/** Crashes that one report lists at most: enough to hold the request back. Longer holds follow from the number of all. */
const MAX_CRASHES_IN_REPORT = 3;
/** Share of the room for requests with several crashes. */
const REPEATED_SHARE = 0.75;
/** Largest share for the others, of which there are many when targets crash for other reasons. */
const OTHERS_SHARE = 0.4;

/**
 * Chooses reports with at most `maxCrashes` crashes among `candidates`, newest first.
 * Requests with several crashes have most of the room; every second time the newest of
 * them come first. All candidates get their turns.
 */
export function chooseReports(
  candidates: readonly HeldBackReport[],
  { maxCrashes, turn }: { readonly maxCrashes: number; readonly turn: number },
): readonly HeldBackReport[] {
  const all = candidates.map(shortenReport);
  const repeated = all.filter(isRepeated);
  const others = all.filter((report) => !isRepeated(report));
  const first = takeWithin(
    turn % 2 === 0 ? repeated : rotated(repeated, Math.floor(turn / 2)),
    Math.ceil(maxCrashes * REPEATED_SHARE),
  );
  const room = Math.min(
    maxCrashes - totalSize(first),
    Math.ceil(maxCrashes * OTHERS_SHARE),
  );
  return [...first, ...takeWithin(rotated(others, turn * room), room)];
}

/** Whether several targets crashed under the request. */
export function isRepeated({ crashes, count = 0 }: HeldBackReport): boolean {
  return Math.max(crashes.length, count) > 1;
}

/** The reports in their order that have at most `maxCrashes` crashes together; larger ones are passed over. */
function takeWithin(
  reports: readonly HeldBackReport[],
  maxCrashes: number,
): readonly HeldBackReport[] {
  const taken: HeldBackReport[] = [];
  let left = maxCrashes;
  for (const report of reports) {
    if (sizeOf(report) <= left) {
      left -= sizeOf(report);
      taken.push(report);
    }
  }
  return taken;
}

function rotated<T>(items: readonly T[], by: number): readonly T[] {
  const start = items.length === 0 ? 0 : by % items.length;
  return [...items.slice(start), ...items.slice(0, start)];
}

/** Leaves out all but the newest crashes. */
export function shortenReport(report: HeldBackReport): HeldBackReport {
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
