/**
 * Explains which target a request would be sent to now, without sending it.
 *
 * @module
 */

import type { Steering, TargetView } from "@poplarthread/decisions";
import type { RegionId, ZoneId } from "@poplarthread/ids";
import type { ExplainRequest, Explanation } from "@poplarthread/operator-api";
import type { FleetTarget } from "./fleet.ts";
import type { RouteTable } from "./http/routes.ts";

/** Inputs of an explanation. */
export interface ExplanationInput {
  readonly routes: RouteTable | undefined;
  readonly steering: Steering | undefined;
  readonly targets: readonly FleetTarget[];
  readonly self: { readonly region: RegionId; readonly zone: ZoneId };
}

/** Explains one request. */
export function explain(
  request: ExplainRequest,
  input: ExplanationInput,
): Explanation {
  const { routes, steering } = input;
  if (routes === undefined || steering === undefined) {
    return {
      kind: "no-route",
      why: "no configuration is in force on this VM yet",
    };
  }
  const match = routes.find(request.method, request.path);
  if (match.kind !== "found") {
    const why = match.kind === "ambiguous"
      ? match.reason
      : "no route matches this method and path";
    return { kind: "no-route", why };
  }
  const { route, prefix } = match.route;
  const base = {
    kind: "route",
    route: route.id,
    service: route.service,
    class: route.class,
    repeat: route.repeat,
    deadlineMs: route.deadlineMs,
  } as const;
  const matchText = `path prefix "${prefix}/" is the longest match`;
  const now = performance.now();
  const usable = steering.targets(now).filter((one) =>
    one.service === route.service && isUsable(one)
  );
  if (usable.length === 0) {
    return { ...base, why: `${matchText}; no target of the service is in use` };
  }
  const free = usable.filter((one) => freeSlots(one) > 0);
  if (free.length === 0) {
    const waitMs = steering.services()
      .find((one) => one.service === route.service)?.waitMs ?? 0;
    return {
      ...base,
      why: `${matchText}; this VM has no free slot on any of ` +
        `${usable.length} targets; expected wait ${Math.round(waitMs)} ms`,
    };
  }
  return { ...base, ...explainChoice(free, input, matchText) };
}

function explainChoice(
  free: readonly TargetView[],
  input: ExplanationInput,
  longest: string,
) {
  const locations = new Map(input.targets.map((one) => [one.id, one]));
  const { region, zone } = input.self;
  const best = free.toSorted((a, b) => {
    const one = locations.get(a.target);
    const other = locations.get(b.target);
    return Number(other?.region === region) - Number(one?.region === region) ||
      Number(other?.zone === zone) - Number(one?.zone === zone) ||
      a.ratio - b.ratio ||
      freeSlots(b) - freeSlots(a);
  })[0]!;
  const location = locations.get(best.target);
  const where = location?.region === region
    ? "in this region"
    : "in another region";
  return {
    target: best.target,
    ...(location === undefined ? {} : { region: location.region }),
    why: `${longest}; ${free.length} targets have a free slot, this one is ` +
      `${where}, ${best.standing}, with ${
        best.ratio.toFixed(1)
      } times the usual ` +
      `response time; the choice may differ when the request is sent`,
  };
}

function freeSlots(view: TargetView): number {
  return view.owned + view.borrowed - view.lent - view.inUse;
}

function isUsable(view: TargetView): boolean {
  return view.standing !== "leaving" && view.standing !== "drained" &&
    view.standing !== "failing";
}
