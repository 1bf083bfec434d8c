/**
 * Checks that a plan is safe, whichever VMs act on it or on an earlier plan.
 *
 * @module
 */

import type { Plan } from "./plan.ts";
import type { Policy } from "./policy.ts";

/** A safety rule that a plan violates. */
export interface PlanFault {
  readonly kind: "target-over" | "link-over" | "row" | "fallback-raises";
  readonly message: string;
}

/** Safety rules that a plan violates; none for a safe plan. */
export function planFaults(plan: Plan, policy: Policy): PlanFault[] {
  return [
    ...targetFaults(plan, policy),
    ...linkFaults(plan, policy),
    ...rowFaults(plan),
    ...fallbackFaults(plan),
  ];
}

function targetFaults(plan: Plan, policy: Policy): PlanFault[] {
  const sums = new Map<string, number>();
  const slots = new Map<string, number>();
  for (const row of plan.allotments) {
    sums.set(row.target, (sums.get(row.target) ?? 0) + row.mayHold);
    const service = policy.services.find(({ id }) => id === row.service);
    slots.set(row.target, service?.slotsPerTarget ?? 0);
  }
  return [...sums]
    .filter(([target, sum]) => sum > slots.get(target)!)
    .map(([target, sum]) => ({
      kind: "target-over",
      message: `VMs may hold ${sum} slots of ${target}, which has ${
        slots.get(target)
      }`,
    }));
}

function linkFaults(plan: Plan, policy: Policy): PlanFault[] {
  return policy.links.flatMap((link) => {
    const sum = plan.links
      .filter(({ from, to }) => from === link.from && to === link.to)
      .reduce((total, { mayHold }) => total + mayHold, 0);
    if (sum <= link.maxInFlight) return [];
    return [{
      kind: "link-over" as const,
      message:
        `VMs may hold ${sum} of at most ${link.maxInFlight} requests in flight from ${link.from} ` +
        `to ${link.to}`,
    }];
  });
}

function rowFaults(plan: Plan): PlanFault[] {
  return [...plan.allotments, ...plan.links]
    .filter(({ slots, mayHold }) => slots < 0 || slots > mayHold)
    .map(({ vm, slots, mayHold }) => ({
      kind: "row",
      message: `${vm} is allotted ${slots} slots but may hold ${mayHold}`,
    }));
}

function fallbackFaults(plan: Plan): PlanFault[] {
  return plan.fallbacks.flatMap(({ lost, allotments }) =>
    allotments
      .filter((row) => !plan.allotments.includes(row))
      .map(({ vm, target }) => ({
        kind: "fallback-raises" as const,
        message:
          `the fallback for the loss of ${lost} changes the slots of ${vm} at ${target}`,
      }))
  );
}
