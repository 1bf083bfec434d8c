/**
 * Rules by which VMs agree on homes although any message may be lost, late or
 * repeated, and owners are replaced. Pure functions, which the model explores.
 *
 * @module
 */

import type { VmId } from "@poplarthread/ids";
import { pairWeight } from "../hash.ts";
import { MAX_HOMES } from "./home_record.ts";
import type { DemandReport, ObjectHomes, OwnerTerm } from "./messages.ts";

/**
 * Time in which the VMs tell a new owner what they use: two reports and their way.
 * Before, it would drop homes that are in use.
 */
export const RECOVERY_MS = 1_500;
/** A VM whose last report is older has probably restarted and counts from 1 again. */
const REPORT_RESET_MS = 3_000;
/** Replaced terms that a VM remembers; older updates are no longer in flight. */
const REPLACED_TERMS = 4;

/** The owner that a VM follows, and what it has applied of its updates. */
export interface FollowedTerm {
  readonly owner: VmId | undefined;
  readonly term: OwnerTerm | undefined;
  readonly sequence: number;
  /** Earlier terms of this owner, whose updates may still be in flight. */
  readonly replaced: readonly OwnerTerm[];
}

/** Follows an owner from which no update has come yet. */
export function followOwner(
  followed: FollowedTerm | undefined,
  owner: VmId | undefined,
): FollowedTerm {
  return followed !== undefined && followed.owner === owner
    ? followed
    : { owner, term: undefined, sequence: 0, replaced: [] };
}

/** Sender and numbers of an update. */
export interface UpdateNumbers {
  readonly from: VmId;
  readonly term: OwnerTerm;
  /** Undefined in an answer to a query. */
  readonly sequence: number | undefined;
  readonly after: number;
}

/** What an update means for a VM. */
export interface FollowResult {
  readonly followed: FollowedTerm;
  /** Whether its homes replace the known ones. */
  readonly isApplied: boolean;
  /** Whether it is the first update of a new term. */
  readonly isNewTerm: boolean;
}

/** Follows an update of the owner. */
export function followUpdate(
  followed: FollowedTerm,
  update: UpdateNumbers,
): FollowResult {
  const isFollowed = update.from === followed.owner;
  if (!isFollowed || followed.replaced.includes(update.term)) {
    return { followed, isApplied: false, isNewTerm: false };
  }
  const isNewTerm = update.term !== followed.term;
  const current = isNewTerm ? replaceTerm(followed, update.term) : followed;
  return { ...applyNumbers(current, update), isNewTerm };
}

/** The last report of a VM that an owner has counted. */
export interface CountedReport {
  readonly number: number;
  readonly receivedAt: number;
}

/** Whether a report's requests have not been counted yet. */
export function isNewReport(
  last: CountedReport | undefined,
  report: CountedReport,
): boolean {
  return last === undefined || report.number > last.number ||
    report.receivedAt - last.receivedAt >= REPORT_RESET_MS;
}

/**
 * Whether the homes in a report are to be added to those of the owner's table: they
 * come from before its term. Later on a report may name homes dropped meanwhile.
 */
export function hasEarlierHomes(
  report: Pick<DemandReport, "term" | "namesEarlierHomes">,
  term: OwnerTerm,
): boolean {
  return report.term !== term || report.namesEarlierHomes;
}

/** Whether an owner must not move or drop homes yet. */
export function isRecovering(startedAt: number, now: number): boolean {
  return now - startedAt < RECOVERY_MS;
}

/** An object's homes without targets that are gone or have lost their cache. */
export function withoutLost(
  homes: readonly number[],
  lost: ReadonlySet<number>,
): readonly number[] {
  return homes.filter((home) => !lost.has(home));
}

/**
 * An object's homes together with those that a VM used before the owner's term, in
 * rendezvous order, so that the result does not depend on which was known first.
 * Surplus ones are dropped later if they are not needed.
 */
export function mergeHomes(
  homes: readonly number[],
  { object, targets }: ObjectHomes,
  isTarget: (target: number) => boolean,
): readonly number[] {
  const usable = targets.filter((target) => isTarget(target));
  const merged = [...new Set([...homes, ...usable])]
    .sort((a, b) => pairWeight(object, b) - pairWeight(object, a))
    .slice(0, MAX_HOMES);
  const isKnown = merged.every((home) => homes.includes(home));
  return isKnown ? homes : merged;
}

function replaceTerm(followed: FollowedTerm, term: OwnerTerm): FollowedTerm {
  const { owner, replaced } = followed;
  return {
    owner,
    term,
    sequence: 0,
    replaced: followed.term === undefined
      ? replaced
      : [...replaced, followed.term].slice(-REPLACED_TERMS),
  };
}

function applyNumbers(
  followed: FollowedTerm,
  { sequence, after }: UpdateNumbers,
): Pick<FollowResult, "followed" | "isApplied"> {
  if (sequence === undefined) {
    return { followed, isApplied: after >= followed.sequence };
  }
  if (sequence < followed.sequence) {
    return { followed, isApplied: false };
  }
  // After a gap the homes are newer than the known ones, but others are missing.
  const hasGap = after > followed.sequence;
  return {
    followed: hasGap ? followed : { ...followed, sequence },
    isApplied: true,
  };
}
