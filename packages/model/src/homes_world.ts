/**
 * What the model of homes consists of: terms of owners, a VM that follows them, and
 * the messages between them. The functions under test decide; these carry it out.
 *
 * @module
 */

import { id, type VmId } from "@poplarthread/ids";
import type { ObjectHomes, OwnerTerm } from "@poplarthread/placement";
import type * as protocol from "@poplarthread/placement/home-protocol";

/** The functions under test: the production ones, or a mutant of them. */
export type HomesCore = typeof protocol;

const OBJECT = 1;
const TARGETS = [1, 2, 3];
/** The target that leaves. */
export const LEAVING = 1;
/** Three steps are the time in which a new owner must not move homes. */
export const STEP_MS = 500;
const VMS: readonly VmId[] = [id("vm-1"), id("vm-2")];

/** A term of an owner, with its table's entry for the object. */
export interface Term {
  readonly vm: VmId;
  readonly name: OwnerTerm;
  readonly startedAt: number;
  readonly homes: readonly number[];
  readonly sequence: number;
  /** Sequence number of the last update sent. */
  readonly updated: number;
  readonly lastReport: protocol.CountedReport | undefined;
  readonly counted: number;
  /** Whether the VM has told it the homes known before. */
  readonly isTold: boolean;
}

/** The VM that follows the owner. */
export interface Follower {
  readonly followed: protocol.FollowedTerm;
  readonly homes: readonly number[];
  /** Homes known before the followed term, until they have been reported. */
  readonly earlier: readonly number[] | undefined;
  /** Reports made, each of one request. */
  readonly reports: number;
  readonly left: readonly OwnerTerm[];
}

/** A message under way. */
export type Message =
  | protocol.UpdateNumbers & {
    readonly kind: "update";
    readonly homes: readonly number[] | undefined;
    readonly sentAt: number;
  }
  | {
    readonly kind: "report";
    readonly to: VmId;
    readonly number: number;
    readonly term: OwnerTerm | undefined;
    readonly sequence: number;
    readonly namesEarlierHomes: boolean;
    readonly homes: readonly number[];
    readonly sentAt: number;
  };

/** A state of the model. */
export interface HomesState {
  readonly time: number;
  /** The last one is the owner; an earlier one of another VM has not noticed. */
  readonly terms: readonly Term[];
  readonly follower: Follower;
  readonly inFlight: readonly Message[];
  readonly hasLeft: boolean;
  readonly movedUntold: boolean;
  readonly changes: number;
  readonly updates: number;
  readonly losses: number;
  readonly repeats: number;
}

/** One owner, whose VM follows it, and no homes yet. */
export function initialState(core: HomesCore): HomesState {
  return {
    time: 0,
    terms: [{ ...newTerm(VMS[0]!, "a", -10), isTold: true }],
    follower: {
      followed: core.followOwner(undefined, VMS[0]),
      homes: [],
      earlier: undefined,
      reports: 0,
      left: [],
    },
    inFlight: [],
    hasLeft: false,
    movedUntold: false,
    changes: 0,
    updates: 0,
    losses: 0,
    repeats: 0,
  };
}

function newTerm(vm: VmId, name: string, startedAt: number): Term {
  return {
    vm,
    name: name as OwnerTerm,
    startedAt,
    homes: [],
    sequence: 0,
    updated: 0,
    lastReport: undefined,
    counted: 0,
    isTold: false,
  };
}

function withTerm(state: HomesState, at: number, term: Term): HomesState {
  return { ...state, terms: state.terms.with(at, term) };
}

/** Gives the object another home. */
export function changeHomes(state: HomesState, at: number): HomesState {
  const term = state.terms[at]!;
  const home = TARGETS.find((target) =>
    !term.homes.includes(target) && !(state.hasLeft && target === LEAVING)
  )!;
  const changed = withHomes(term, [home]);
  return { ...withTerm(state, at, changed), changes: state.changes + 1 };
}

function withHomes(term: Term, homes: readonly number[]): Term {
  return { ...term, homes, sequence: term.sequence + 1 };
}

/** The owner tells what changed since its last update. */
export function sendUpdate(state: HomesState, at: number): HomesState {
  const term = state.terms[at]!;
  const sent = {
    ...withTerm(state, at, { ...term, updated: term.sequence }),
    updates: state.updates + 1,
  };
  return send(sent, updateOf(term, term.updated, state.time));
}

function updateOf(term: Term, after: number, sentAt: number): Message {
  const { vm, name, sequence, homes } = term;
  const changed = sequence > after ? homes : undefined;
  return {
    kind: "update",
    from: vm,
    term: name,
    sequence,
    after,
    homes: changed,
    sentAt,
  };
}

/** Messages arrive in any order, so that states that differ in it alone are equal. */
export function send(state: HomesState, message: Message): HomesState {
  const inFlight = [...state.inFlight, message];
  inFlight.sort((a, b) => keyOf(a) < keyOf(b) ? -1 : 1);
  return { ...state, inFlight };
}

function keyOf(message: Message): string {
  return JSON.stringify(message);
}

/** A VM that was cut off goes on as the owner; one that restarted does not. */
export function replaceOwner(
  state: HomesState,
  replacement: "other" | "same",
): HomesState {
  const isOther = replacement === "other";
  const term = newTerm(VMS[isOther ? 1 : 0]!, "b", state.time);
  return { ...state, terms: isOther ? [...state.terms, term] : [term] };
}

/** The VM follows the new owner. */
export function learnOwner(state: HomesState, core: HomesCore): HomesState {
  const { follower, terms } = state;
  const followed = core.followOwner(follower.followed, terms.at(-1)!.vm);
  return { ...state, follower: startTerm(follower, followed) };
}

/** Keeps the homes known before a new term, to report them. */
function startTerm(
  follower: Follower,
  followed: protocol.FollowedTerm,
): Follower {
  const { term } = follower.followed;
  return {
    ...follower,
    followed,
    earlier: follower.homes,
    left: term === undefined ? follower.left : [...follower.left, term],
  };
}

/** The VM reports a request, and the homes known before a new term. */
export function sendReport(state: HomesState): HomesState {
  const { follower } = state;
  const { followed, homes, earlier } = follower;
  const reports = follower.reports + 1;
  const message: Message = {
    kind: "report",
    to: followed.owner!,
    number: reports,
    term: followed.term,
    sequence: followed.sequence,
    namesEarlierHomes: earlier !== undefined,
    homes: earlier ?? homes,
    sentAt: state.time,
  };
  return send({
    ...state,
    follower: { ...follower, reports, earlier: undefined },
  }, message);
}

/** A target leaves, so that its objects get another home. */
export function removeTarget(state: HomesState, core: HomesCore): HomesState {
  const lost = new Set([LEAVING]);
  const terms = state.terms.map((term) => {
    const homes = core.withoutLost(term.homes, lost);
    const others = TARGETS.filter((target) => target !== LEAVING);
    const isChanged = homes.length < term.homes.length;
    return isChanged
      ? withHomes(term, homes.length > 0 ? homes : others.slice(0, 1))
      : term;
  });
  return { ...state, terms, hasLeft: true };
}

/** A message arrives. */
export function arrive(
  state: HomesState,
  at: number,
  core: HomesCore,
): HomesState {
  const message = state.inFlight[at]!;
  const rest = { ...state, inFlight: state.inFlight.toSpliced(at, 1) };
  return message.kind === "update"
    ? receiveUpdate(rest, message, core)
    : receiveReport(rest, message, core);
}

function receiveUpdate(
  state: HomesState,
  update: Extract<Message, { readonly kind: "update" }>,
  core: HomesCore,
): HomesState {
  const { follower } = state;
  const result = core.followUpdate(follower.followed, update);
  const current = result.isNewTerm
    ? startTerm(follower, result.followed)
    : { ...follower, followed: result.followed };
  const homes = result.isApplied && update.homes !== undefined
    ? update.homes
    : follower.homes;
  return { ...state, follower: { ...current, homes } };
}

/** The owner merges homes, counts requests and sends what the VM has missed. */
function receiveReport(
  state: HomesState,
  report: Extract<Message, { readonly kind: "report" }>,
  core: HomesCore,
): HomesState {
  const at = state.terms.findLastIndex(({ vm }) => vm === report.to);
  const term = state.terms[at];
  const counted = { number: report.number, receivedAt: state.time * STEP_MS };
  if (term === undefined || !core.isNewReport(term.lastReport, counted)) {
    return state;
  }
  const merged = mergeReport(term, report, { state, core });
  const updated = {
    ...merged,
    lastReport: counted,
    counted: term.counted + 1,
  };
  const applied = report.term === term.name ? report.sequence : 0;
  const received = withTerm(state, at, updated);
  return applied < updated.sequence
    ? send(received, updateOf(updated, applied, state.time))
    : received;
}

function mergeReport(
  term: Term,
  report: Extract<Message, { readonly kind: "report" }>,
  { state, core }: { readonly state: HomesState; readonly core: HomesCore },
): Term {
  if (!core.hasEarlierHomes(report, term.name)) {
    return term;
  }
  const known: ObjectHomes = { object: OBJECT, targets: report.homes };
  const homes = core.mergeHomes(
    term.homes,
    known,
    (target) => !(state.hasLeft && target === LEAVING),
  );
  const merged = homes === term.homes ? term : withHomes(term, homes);
  return { ...merged, isTold: true };
}
