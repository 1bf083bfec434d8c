/**
 * The calls of a model's processes to the table. Each may take effect late, get
 * its response late, or lose its response before or after it took effect.
 *
 * @module
 */

import type { TableEffect } from "@poplarthread/coordination";
import {
  applyCall,
  type Rows,
  type TableCall,
  type TableResponse,
} from "./table_model.ts";

/** A call in flight; it has taken effect once `response` is set. */
interface PendingCall {
  readonly call: TableCall;
  readonly response?: TableResponse;
}

/** The table, and the calls and responses in flight. */
export interface TableWorld {
  readonly rows: Rows;
  /** At most one call per process. */
  readonly calls: Readonly<Record<string, PendingCall>>;
  /** Calls whose response no process awaits, and that may still take effect. */
  readonly orphans: readonly TableCall[];
  /** Number of calls that may still be lost or refused. */
  readonly losses: number;
}

/** Events of the table and the network. */
export type TableEvent =
  | { readonly type: "take-effect"; readonly process: string }
  | { readonly type: "respond"; readonly process: string }
  | { readonly type: "lose"; readonly process: string }
  | { readonly type: "refuse"; readonly process: string }
  | { readonly type: "orphan-takes-effect"; readonly index: number };

/** The outcome of a call, as delivered to its process. */
export interface Delivery {
  readonly process: string;
  readonly call: TableCall;
  readonly outcome:
    | TableResponse
    | { readonly kind: "failed"; readonly effect: TableEffect };
}

/** An empty table. */
export function newWorld(losses: number): TableWorld {
  return { rows: {}, calls: {}, orphans: [], losses };
}

/** All events of the table and the network that may occur now. */
export function tableEvents(world: TableWorld): readonly TableEvent[] {
  const events: TableEvent[] = [];
  for (const [process, pending] of Object.entries(world.calls)) {
    const tookEffect = pending.response !== undefined;
    events.push({ type: tookEffect ? "respond" : "take-effect", process });
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

/** Whether the event is one of the table or the network. */
export function isTableEvent(event: { type: string }): event is TableEvent {
  switch (event.type) {
    case "take-effect":
    case "respond":
    case "lose":
    case "refuse":
    case "orphan-takes-effect":
      return true;
    default:
      return false;
  }
}

/** Returns the world after the event, and what it delivers to a process. */
export function applyTableEvent(
  world: TableWorld,
  event: TableEvent,
): { readonly world: TableWorld; readonly delivery?: Delivery } {
  switch (event.type) {
    case "take-effect": {
      const { call } = world.calls[event.process]!;
      const { rows, response } = applyCall(world.rows, call);
      const calls = {
        ...world.calls,
        [event.process]: { call, response },
      };
      return { world: { ...world, rows, calls } };
    }
    case "respond": {
      const { call, response } = world.calls[event.process]!;
      const delivery = { process: event.process, call, outcome: response! };
      return { world: withoutCall(world, event.process), delivery };
    }
    case "lose":
      return loseResponse(world, event.process);
    case "refuse": {
      const { call } = world.calls[event.process]!;
      const outcome = { kind: "failed", effect: "none" } as const;
      const after = withoutCall(world, event.process);
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

/** Adds a call that the process sends. */
export function sendCall(
  world: TableWorld,
  process: string,
  call: TableCall,
): TableWorld {
  const calls = { ...world.calls, [process]: { call } };
  const keys = Object.keys(calls).sort();
  const sorted = keys.map((key) => [key, calls[key]!] as const);
  return { ...world, calls: Object.fromEntries(sorted) };
}

/**
 * Detaches the call of a process that crashed: it may still take effect, but
 * its response is not delivered.
 */
export function orphanCall(world: TableWorld, process: string): TableWorld {
  const pending = world.calls[process];
  const after = withoutCall(world, process);
  const mayStillWrite = pending?.call.kind === "transact" &&
    pending.response === undefined;
  return mayStillWrite
    ? { ...after, orphans: [...after.orphans, pending.call] }
    : after;
}

function loseResponse(
  world: TableWorld,
  process: string,
): { readonly world: TableWorld; readonly delivery: Delivery } {
  const { call } = world.calls[process]!;
  const after = orphanCall(world, process);
  const outcome = { kind: "failed", effect: "unknown" } as const;
  return {
    world: { ...after, losses: world.losses - 1 },
    delivery: { process, call, outcome },
  };
}

function withoutCall(world: TableWorld, process: string): TableWorld {
  const { [process]: _, ...calls } = world.calls;
  return { ...world, calls };
}
