/**
 * Checks of a preset that look across its fields: names that refer to nothing,
 * and traffic that the preset itself could not carry.
 *
 * @module
 */

import type { RegionId } from "@poplarthread/ids";
import type { Complaint } from "./document.ts";
import type { Preset, PresetService } from "./preset.ts";

/** All complaints about a preset that matches the schema. */
export function checkPreset(preset: Preset): readonly Complaint[] {
  return [
    ...checkUnique(preset),
    ...checkReferences(preset),
    ...checkShift(preset),
    ...checkReserves(preset),
    ...checkCapacity(preset),
  ];
}

function checkUnique(preset: Preset): readonly Complaint[] {
  const lists = ["regions", "services", "classes", "routes"] as const;
  return lists.flatMap((list) => {
    const seen = new Set<string>();
    return preset[list].flatMap(({ id }, index): Complaint[] => {
      if (!seen.has(id)) {
        seen.add(id);
        return [];
      }
      return [{ path: [list, index, "id"], message: `"${id}" is named twice` }];
    });
  });
}

function checkReferences(preset: Preset): readonly Complaint[] {
  const complaints: Complaint[] = [];
  const known = {
    region: new Set<string>(preset.regions.map(({ id }) => id)),
    service: new Set<string>(preset.services.map(({ id }) => id)),
    class: new Set<string>(preset.classes.map(({ id }) => id)),
  };
  function refer(
    kind: keyof typeof known,
    name: string,
    path: Complaint["path"],
  ): void {
    if (!known[kind].has(name)) {
      const allowed = [...known[kind]].join(", ");
      complaints.push({
        path,
        message: `unknown ${kind} "${name}"; known: ${allowed}`,
      });
    }
  }
  preset.services.forEach((service, index) => {
    for (const region of Object.keys(service.targets)) {
      refer("region", region, ["services", index, "targets", region]);
    }
  });
  preset.routes.forEach((route, index) => {
    refer("service", route.service, ["routes", index, "service"]);
    refer("class", route.class, ["routes", index, "class"]);
  });
  preset.links.forEach((link, index) => {
    refer("region", link.from, ["links", index, "from"]);
    refer("region", link.to, ["links", index, "to"]);
  });
  preset.demand.forEach((demand, index) => {
    refer("region", demand.region, ["demand", index, "region"]);
    refer("service", demand.service, ["demand", index, "service"]);
  });
  return complaints;
}

function checkShift(preset: Preset): readonly Complaint[] {
  const { maxStepShare, coldStepShare } = preset.shift;
  if (coldStepShare <= maxStepShare) {
    return [];
  }
  return [{
    path: ["shift", "coldStepShare"],
    message:
      `${coldStepShare} breaks the cap of ${maxStepShare} in shift/maxStepShare`,
  }];
}

function checkReserves(preset: Preset): readonly Complaint[] {
  const total = preset.classes.reduce(
    (sum, { reservedShare }) => sum + reservedShare,
    0,
  );
  if (total < 1) {
    return [];
  }
  return [{
    path: ["classes"],
    message: `reserved shares add up to ${total}; they must leave room below 1`,
  }];
}

function checkCapacity(preset: Preset): readonly Complaint[] {
  return preset.services.flatMap((service, index): readonly Complaint[] => {
    const demand = demandByRegion(preset, service);
    const wanted = sum(demand.values());
    const usable = sum(
      preset.regions.map(({ id }) => usableSlots(service, id)),
    );
    if (wanted > usable) {
      return [{
        path: ["services", index],
        message: `"${service.id}" can carry ${
          round(usable)
        } slots, its demand is ${round(wanted)}`,
      }];
    }
    return checkLinks(preset, service, { index, demand });
  });
}

/** A region's surplus of demand must fit over the links that leave it. */
function checkLinks(
  preset: Preset,
  service: PresetService,
  { index, demand }: { index: number; demand: ReadonlyMap<RegionId, number> },
): readonly Complaint[] {
  return [...demand].flatMap(([region, wanted]): Complaint[] => {
    const surplus = wanted - usableSlots(service, region);
    const links = preset.links.filter(({ from, to }) =>
      from === region && to !== region
    );
    const room = sum(links.map(({ maxInFlight }) => maxInFlight));
    if (surplus <= room) {
      return [];
    }
    return [{
      path: ["services", index, "targets"],
      message:
        `${round(surplus)} slots of "${service.id}" must leave ${region}, ` +
        `its links carry ${round(room)}`,
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
