/**
 * Model of request claims: a request with one key is sent several times, through
 * VMs that may crash and restart. The table may lose responses, and queries to
 * the holder of the claim may be answered late or not at all.
 *
 * @module
 */

import type { attemptCore, claimRow } from "@poplarthread/coordination/cores";
import { id, type InstanceId } from "@poplarthread/ids";
import type { Model } from "./explore.ts";
import {
  applyTableEvent,
  type Delivery,
  isTableEvent,
  newWorld,
  orphanCall,
  sendCall,
  type TableEvent,
  tableEvents,
  type TableWorld,
} from "./table_world.ts";

/** The core under test: the production one, or a mutant of it. */
export type AttemptCore = typeof attemptCore;

/** Bounds of the model. */
export interface ClaimsBounds {
  /** Number of times that the request is sent, each to any VM. */
  readonly sendings: number;
  /** 1 if the last sending has a different body. */
  readonly otherBody: 0 | 1;
  readonly vms: number;
  readonly losses: number;
  /** Crashes in total; each VM restarts as a new instance. */
  readonly crashes: number;
  /** Expired deadlines and callers that disconnect, in total. */
  readonly expiries: number;
}

type HolderAnswer = attemptCore.HolderResponse;

/** One of the times that the request is sent. */
interface Sending {
  /** Index of its VM; `isLost` if the VM's instance has crashed since. */
  readonly vm: number;
  readonly isLost: boolean;
  readonly attempt: attemptCore.Attempt;
  /** The query to the holder in flight, with the response once the holder has sent it. */
  readonly query: { readonly response: HolderAnswer | null } | null;
  readonly refusal: attemptCore.ClaimRefusal | null;
  /** Sendings that had been dispatched before this one arrived. */
  readonly ranBefore: readonly number[];
  readonly wasSent: boolean;
}

/** A state of the model. */
export interface ClaimsState {
  readonly world: TableWorld;
  /** Number of restarts of each VM; each starts a new instance. */
  readonly restarts: readonly number[];
  readonly sendings: readonly Sending[];
  /** Events that may still occur. */
  readonly left: Pick<ClaimsBounds, "crashes" | "expiries">;
  /**
   * Sendings that ran at a target, in order, without those that the target
   * refused before running them.
   */
  readonly ran: readonly number[];
}

/** A step of the model. */
export type ClaimsEvent =
  | TableEvent
  | { readonly type: "arrive"; readonly vm: number }
  | { readonly type: "holder-responds"; readonly sending: number }
  | { readonly type: "holder-response-arrives"; readonly sending: number }
  | { readonly type: "holder-out-of-reach"; readonly sending: number }
  | { readonly type: "dispatch"; readonly sending: number }
  | {
    readonly type: "end";
    readonly sending: number;
    readonly how: attemptCore.RunOutcome["kind"];
  }
  | { readonly type: "expire"; readonly sending: number }
  | { readonly type: "crash"; readonly vm: number };

/** Builds the model around the core. */
export function claimsModel(
  bounds: ClaimsBounds,
  core: AttemptCore,
): Model<ClaimsState, ClaimsEvent> {
  function updateSending(
    state: ClaimsState,
    index: number,
    changes: Partial<Sending>,
  ): ClaimsState {
    const sending = { ...state.sendings[index]!, ...changes };
    return { ...state, sendings: state.sendings.with(index, sending) };
  }

  function applyResult(
    state: ClaimsState,
    index: number,
    { attempt, effects }: attemptCore.AttemptResult,
  ): ClaimsState {
    const after = updateSending(state, index, { attempt });
    return effects.reduce(
      (state, effect) => perform(state, index, effect),
      after,
    );
  }

  function perform(
    state: ClaimsState,
    index: number,
    effect: attemptCore.AttemptEffect,
  ): ClaimsState {
    const key = core.attemptKey(state.sendings[index]!.attempt);
    switch (effect.kind) {
      case "write": {
        const value = effect.row as unknown as null;
        const transaction = {
          conditions: [{ key, version: effect.over }],
          writes: [{ key, value }],
        };
        const call = { kind: "transact", transaction } as const;
        return { ...state, world: sendCall(state.world, String(index), call) };
      }
      case "read": {
        const call = { kind: "read", keys: [key] } as const;
        return { ...state, world: sendCall(state.world, String(index), call) };
      }
      case "ask":
        return updateSending(state, index, { query: { response: null } });
      case "send": {
        const after = updateSending(state, index, { wasSent: true });
        return { ...after, ran: [...state.ran, index] };
      }
      case "refuse":
        return updateSending(state, index, { refusal: effect.refusal });
      case "granted":
        return state;
    }
  }

  function advance(
    state: ClaimsState,
    index: number,
    event: attemptCore.AttemptEvent,
  ): ClaimsState {
    const { attempt } = state.sendings[index]!;
    return applyResult(state, index, core.advanceAttempt(attempt, event));
  }

  function arrive(state: ClaimsState, vm: number): ClaimsState {
    const index = state.sendings.length;
    const isOther = bounds.otherBody === 1 && index === bounds.sendings - 1;
    const started = core.startAttempt({
      id: `attempt-${index}` as claimRow.AttemptId,
      claim: "claim" as claimRow.ClaimId,
      instance: instanceOf(vm, state.restarts[vm]!),
      bodyDigest: isOther ? "other" : "body",
      claimedAt: 0,
    });
    const sending: Sending = {
      vm,
      isLost: false,
      attempt: started.attempt,
      query: null,
      refusal: null,
      ranBefore: state.ran,
      wasSent: false,
    };
    const after = { ...state, sendings: [...state.sendings, sending] };
    return applyResult(after, index, started);
  }

  function holderResponse(state: ClaimsState, index: number): HolderAnswer {
    const { phase } = state.sendings[index]!.attempt;
    const row = (phase as { row: claimRow.ClaimRow }).row;
    const holder = state.sendings.find(({ attempt }) =>
      attempt.id === row.attempt
    )!;
    return holder.isLost
      ? { kind: "dead" }
      : core.holderResponseFor(holder.attempt);
  }

  function crash(state: ClaimsState, vm: number): ClaimsState {
    const world = state.sendings.reduce(
      (world, sending, index) =>
        sending.vm === vm ? orphanCall(world, String(index)) : world,
      state.world,
    );
    const sendings = state.sendings.map((sending) =>
      sending.vm === vm ? { ...sending, isLost: true, query: null } : sending
    );
    const restarts = state.restarts.with(vm, state.restarts[vm]! + 1);
    const left = { ...state.left, crashes: state.left.crashes - 1 };
    return { ...state, world, sendings, restarts, left };
  }

  function end(
    state: ClaimsState,
    index: number,
    how: attemptCore.RunOutcome["kind"],
  ): ClaimsState {
    const after = advance(state, index, {
      kind: "ended",
      outcome: outcomeOf(how, index),
    });
    return how === "not-run"
      ? { ...after, ran: state.ran.filter((ran) => ran !== index) }
      : after;
  }

  function deliver(
    state: ClaimsState,
    { process, outcome }: Delivery,
  ): ClaimsState {
    return advance(state, Number(process), eventOf(outcome));
  }

  function next(state: ClaimsState, event: ClaimsEvent): ClaimsState {
    if (isTableEvent(event)) {
      const { world, delivery } = applyTableEvent(state.world, event);
      const after = { ...state, world };
      return delivery === undefined ? after : deliver(after, delivery);
    }
    switch (event.type) {
      case "arrive":
        return arrive(state, event.vm);
      case "holder-responds": {
        const response = holderResponse(state, event.sending);
        return updateSending(state, event.sending, { query: { response } });
      }
      case "holder-response-arrives": {
        const answer = state.sendings[event.sending]!.query!.response!;
        const updated = updateSending(state, event.sending, { query: null });
        return advance(updated, event.sending, { kind: "holder", answer });
      }
      case "holder-out-of-reach": {
        const updated = updateSending(state, event.sending, { query: null });
        const answer = { kind: "unreachable" } as const;
        return advance(updated, event.sending, { kind: "holder", answer });
      }
      case "dispatch":
        return advance(state, event.sending, { kind: "dispatch" });
      case "end":
        return end(state, event.sending, event.how);
      case "expire": {
        const expiries = state.left.expiries - 1;
        const left = { ...state.left, expiries };
        return advance({ ...state, left }, event.sending, { kind: "expired" });
      }
      case "crash":
        return crash(state, event.vm);
    }
  }

  function eventsOf(state: ClaimsState): readonly ClaimsEvent[] {
    const events: ClaimsEvent[] = [...tableEvents(state.world)];
    for (let vm = 0; vm < bounds.vms; vm++) {
      // The first sending always goes to VM 0, since the VMs are interchangeable.
      const mayReceive = vm === 0 || state.sendings.length > 0;
      if (mayReceive && state.sendings.length < bounds.sendings) {
        events.push({ type: "arrive", vm });
      }
      const hasSending = state.sendings.some((sending) =>
        sending.vm === vm && !sending.isLost
      );
      if (state.left.crashes > 0 && hasSending) {
        events.push({ type: "crash", vm });
      }
    }
    state.sendings.forEach((sending, index) => {
      events.push(...sendingEvents(state, sending, index));
    });
    return events;
  }

  const { crashes, expiries } = bounds;
  return {
    name: "claims",
    bounds: { ...bounds },
    initial: {
      world: newWorld(bounds.losses),
      restarts: Array.from({ length: bounds.vms }, () => 0),
      sendings: [],
      left: { crashes, expiries },
      ran: [],
    },
    events: eventsOf,
    next,
    properties: PROPERTIES,
  };
}

function instanceOf(vm: number, restarts: number): InstanceId {
  return id<InstanceId>(`vm${vm}-${restarts}`);
}

function outcomeOf(
  how: attemptCore.RunOutcome["kind"],
  sending: number,
): attemptCore.RunOutcome {
  switch (how) {
    case "answered": {
      // The status identifies the sending that got this response.
      const answer = { status: sending, headers: [], bodyBase64: "" };
      return { kind: how, answer };
    }
    case "answered-unkept":
      return { kind: how, status: sending };
    case "unknown":
    case "not-run":
      return { kind: how };
  }
}

function eventOf(outcome: Delivery["outcome"]): attemptCore.AttemptEvent {
  switch (outcome.kind) {
    case "rows":
      return { kind: "row", row: outcome.rows[0]! };
    case "result":
      return outcome.result.kind === "committed"
        ? { kind: "committed" }
        : { kind: "conflict", row: outcome.result.rows[0]! };
    case "failed":
      return outcome;
  }
}

function sendingEvents(
  state: ClaimsState,
  { isLost, attempt, query }: Sending,
  sending: number,
): readonly ClaimsEvent[] {
  const { kind } = attempt.phase;
  if (isLost || kind === "closed") {
    return [];
  }
  const events: ClaimsEvent[] = [];
  if (query !== null) {
    events.push(
      query.response === null
        ? { type: "holder-responds", sending }
        : { type: "holder-response-arrives", sending },
      { type: "holder-out-of-reach", sending },
    );
  }
  if (kind === "claimed") {
    events.push({ type: "dispatch", sending });
  }
  if (kind === "dispatched") {
    for (const how of ["answered", "unknown", "not-run"] as const) {
      events.push({ type: "end", sending, how });
    }
  }
  if (state.left.expiries > 0 && kind !== "recording") {
    events.push({ type: "expire", sending });
  }
  return events;
}

const PROPERTIES: Model<ClaimsState, ClaimsEvent>["properties"] = {
  "a request runs at most once": ({ ran }) => ran.length <= 1,
  "a refused sending is never sent": ({ sendings }) =>
    sendings.every(({ refusal, wasSent }) => refusal === null || !wasSent),
  // `ran` does not include sendings that a target refused before running them.
  "a key is reported as not run only if it had not run": ({ sendings, ran }) =>
    sendings.every(({ refusal, ranBefore }) =>
      refusal?.kind !== "not-run" || refusal.proof !== "key" ||
      !ranBefore.some((sending) => ran.includes(sending))
    ),
  "a repeated sending gets the response of the run": ({ sendings, ran }) =>
    sendings.every(({ refusal }) =>
      refusal?.kind !== "answered" || ran[0] === refusal.answer.status
    ),
  "a sending with another body never gets the response of the run": (
    { sendings },
  ) =>
    sendings.every(({ refusal, attempt }) =>
      refusal?.kind !== "answered" ||
      sendings[refusal.answer.status]?.attempt.bodyDigest ===
        attempt.bodyDigest
    ),
};
