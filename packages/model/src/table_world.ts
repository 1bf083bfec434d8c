/**
 * The calls of a model's processes to the table: each may take effect late, be
 * answered late, or lose its answer before or after it took effect.
 *
 * @module
 */

import type { TableEffect } from "@poplarthread/coordination";
import {
  applyCall,
  type Rows,
  type TableAnswer,
  type TableCall,
} from "./table_model.ts";

/** A call on its way; it took effect once `answer` is there. */
interface Pending {
  readonly call: TableCall;
  readonly answer?: TableAnswer;
}

/** The table and what is on its way to it and back. */
export interface TableWorld {
  readonly rows: Rows;
  /** One call for each process at most. */
  readonly calls: Readonly<Record<string, Pending>>;
  /** Calls that nobody waits for any more and that may still take effect. */
  readonly orphans: readonly TableCall[];
  /** Calls that may still be lost or refused. */
  readonly losses: number;
}

/** What the table and the network may do. */
export type TableEvent =
  | { readonly type: "take-effect"; readonly process: string }
  | { readonly type: "answer"; readonly process: string }
  | { readonly type: "lose"; readonly process: string }
  | { readonly type: "refuse"; readonly process: string }
  | { readonly type: "orphan-takes-effect"; readonly index: number };

/** What reaches a process. */
export interface Delivery {
  readonly process: string;
  readonly call: TableCall;
  readonly outcome:
    | TableAnswer
    | { readonly kind: "failed"; readonly effect: TableEffect };
}

/** An empty table. */
export function newWorld(losses: number): TableWorld {
  return { rows: {}, calls: {}, orphans: [], losses };
}

/** Every event that the table or the network may bring now. */
export function tableEvents(world: TableWorld): readonly TableEvent[] {
  const events: TableEvent[] = [];
  for (const [process, pending] of Object.entries(world.calls)) {
    const tookEffect = pending.answer !== undefined;
    events.push({ type: tookEffect ? "answer" : "take-effect", process });
    if (world.losses > 0) {
      events.push({ type: "lose", process });
      if (!tookEffect) {
        events.push({ type: "refuse", process });
      }
    }
  }
  world.orphans.forEach((_, index) =>
    events.push({ type: "orphan-takes-effect", index })
  );
  return events;
}

/** Whether an event is one of the table's. */
export function isTableEvent(event: { type: string }): event is TableEvent {
  switch (event.type) {
    case "take-effect":
    case "answer":
    case "lose":
    case "refuse":
    case "orphan-takes-effect":
      return true;
    default:
      return false;
  }
}

/** The world after the event, and what reaches a process by it. */
export function applyTableEvent(
  world: TableWorld,
  event: TableEvent,
): { readonly world: TableWorld; readonly delivery?: Delivery } {
  switch (event.type) {
    case "take-effect": {
      const { call } = world.calls[event.process]!;
      const { rows, answer } = applyCall(world.rows, call);
      const calls = { ...world.calls, [event.process]: { call, answer } };
      return { world: { ...world, rows, calls } };
    }
    case "answer": {
      const { call, answer } = world.calls[event.process]!;
      const delivery = { process: event.process, call, outcome: answer! };
      return { world: without(world, event.process), delivery };
    }
    case "lose":
      return lose(world, event.process);
    case "refuse": {
      const { call } = world.calls[event.process]!;
      const outcome = { kind: "failed", effect: "none" } as const;
      const after = without(world, event.process);
      return {
        world: { ...after, losses: world.losses - 1 },
        delivery: { process: event.process, call, outcome },
      };
    }
    case "orphan-takes-effect": {
      const { rows } = applyCall(world.rows, world.orphans[event.index]!);
      const orphans = world.orphans.filter((_, index) => index !== event.index);
      return { world: { ...world, rows, orphans } };
    }
  }
}

/** A process sends a call. */
export function send(
  world: TableWorld,
  process: string,
  call: TableCall,
): TableWorld {
  const calls = { ...world.calls, [process]: { call } };
  const keys = Object.keys(calls).sort();
  const sorted = keys.map((key) => [key, calls[key]!] as const);
  return { ...world, calls: Object.fromEntries(sorted) };
}

/** A process died: its call may still take effect, and nobody hears the answer. */
export function orphan(world: TableWorld, process: string): TableWorld {
  const pending = world.calls[process];
  const after = without(world, process);
  const mayStillWrite = pending?.call.kind === "transact" &&
    pending.answer === undefined;
  return mayStillWrite
    ? { ...after, orphans: [...after.orphans, pending.call] }
    : after;
}

function lose(
  world: TableWorld,
  process: string,
): { readonly world: TableWorld; readonly delivery: Delivery } {
  const { call } = world.calls[process]!;
  const after = orphan(world, process);
  const outcome = { kind: "failed", effect: "unknown" } as const;
  return {
    world: { ...after, losses: world.losses - 1 },
    delivery: { process, call, outcome },
  };
}

function without(world: TableWorld, process: string): TableWorld {
  const { [process]: _, ...calls } = world.calls;
  return { ...world, calls };
}
