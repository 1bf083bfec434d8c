/**
 * Checks of a preset across fields: dangling references, inconsistent shares, and
 * demand that exceeds the preset's own capacity.
 *
 * @module
 */

import type { RegionId } from "@poplarthread/ids";
import type { Issue } from "./document.ts";
import type { Preset, PresetService } from "./preset.ts";

/** All issues of a preset that matches the schema. */
export function checkPreset(preset: Preset): readonly Issue[] {
  return [
    ...checkUnique(preset),
    ...checkReferences(preset),
    ...checkShift(preset),
    ...checkReserves(preset),
    ...checkCapacity(preset),
  ];
}

function checkUnique(preset: Preset): readonly Issue[] {
  const lists = ["regions", "services", "classes", "routes"] as const;
  return lists.flatMap((list) => {
    const seen = new Set<string>();
    return preset[list].flatMap(({ id }, index): Issue[] => {
      if (!seen.has(id)) {
        seen.add(id);
        return [];
      }
      return [{ path: [list, index, "id"], message: `duplicate id "${id}"` }];
    });
  });
}

function checkReferences(preset: Preset): readonly Issue[] {
  const issues: Issue[] = [];
  const known = {
    region: new Set<string>(preset.regions.map(({ id }) => id)),
    service: new Set<string>(preset.services.map(({ id }) => id)),
    class: new Set<string>(preset.classes.map(({ id }) => id)),
  };
  function checkReference(
    kind: keyof typeof known,
    name: string,
    path: Issue["path"],
  ): void {
    if (!known[kind].has(name)) {
      const knownNames = [...known[kind]].join(", ");
      issues.push({
        path,
        message: `unknown ${kind} "${name}"; known: ${knownNames}`,
      });
    }
  }
  preset.services.forEach((service, index) => {
    for (const region of Object.keys(service.targets)) {
      checkReference("region", region, ["services", index, "targets", region]);
    }
  });
  preset.routes.forEach((route, index) => {
    checkReference("service", route.service, ["routes", index, "service"]);
    checkReference("class", route.class, ["routes", index, "class"]);
  });
  preset.links.forEach((link, index) => {
    checkReference("region", link.from, ["links", index, "from"]);
    checkReference("region", link.to, ["links", index, "to"]);
  });
  preset.demand.forEach((demand, index) => {
    checkReference("region", demand.region, ["demand", index, "region"]);
    checkReference("service", demand.service, ["demand", index, "service"]);
  });
  return issues;
}

function checkShift(preset: Preset): readonly Issue[] {
  const { maxStepShare, coldStepShare } = preset.shift;
  if (coldStepShare <= maxStepShare) {
    return [];
  }
  return [{
    path: ["shift", "coldStepShare"],
    message:
      `${coldStepShare} exceeds the maximum of ${maxStepShare} set by /shift/maxStepShare`,
  }];
}

function checkReserves(preset: Preset): readonly Issue[] {
  const total = preset.classes.reduce(
    (sum, { reservedShare }) => sum + reservedShare,
    0,
  );
  if (total < 1) {
    return [];
  }
  return [{
    path: ["classes"],
    message: `the sum of all reservedShare is ${total}; it must be below 1`,
  }];
}

function checkCapacity(preset: Preset): readonly Issue[] {
  return preset.services.flatMap((service, index): readonly Issue[] => {
    const demand = demandByRegion(preset, service);
    const wanted = sum(demand.values());
    const usable = sum(
      preset.regions.map(({ id }) => usableSlots(service, id)),
    );
    if (wanted > usable) {
      return [{
        path: ["services", index],
        message: `the capacity of "${service.id}" is ${
          round(usable)
        } slots, less than its demand of ${round(wanted)}`,
      }];
    }
    return checkLinks(preset, service, { index, demand });
  });
}

/** A region's excess demand must fit the limits of its outgoing links. */
function checkLinks(
  preset: Preset,
  service: PresetService,
  { index, demand }: { index: number; demand: ReadonlyMap<RegionId, number> },
): readonly Issue[] {
  return [...demand].flatMap(([region, wanted]): Issue[] => {
    const excess = wanted - usableSlots(service, region);
    const links = preset.links.filter(({ from, to }) =>
      from === region && to !== region
    );
    const linkCapacity = sum(links.map(({ maxInFlight }) => maxInFlight));
    if (excess <= linkCapacity) {
      return [];
    }
    return [{
      path: ["services", index, "targets"],
      message:
        `${
          round(excess)
        } slots of demand for "${service.id}" exceed the capacity of ${region}; ` +
        `its outgoing links carry only ${round(linkCapacity)}`,
    }];
  });
}

function demandByRegion(
  preset: Preset,
  service: PresetService,
): ReadonlyMap<RegionId, number> {
  const demand = new Map<RegionId, number>();
  for (const entry of preset.demand) {
    if (entry.service === service.id) {
      demand.set(entry.region, (demand.get(entry.region) ?? 0) + entry.slots);
    }
  }
  return demand;
}

function usableSlots(service: PresetService, region: RegionId): number {
  return (service.targets[region] ?? 0) * service.slotsPerTarget *
    service.utilisation;
}

function sum(values: Iterable<number>): number {
  let total = 0;
  for (const value of values) {
    total += value;
  }
  return total;
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}
