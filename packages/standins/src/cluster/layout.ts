/**
 * Where everything of a deployment stands: VMs and targets with their places
 * and loopback addresses, from its preset.
 *
 * @module
 */

import type { Preset } from "@poplarthread/config";
import { addressAt, type Delays, type Place } from "../delays.ts";
import type { DeploymentName } from "../presets.ts";
import type { TargetOptions } from "../target/switches.ts";
import type { Ports } from "./ports.ts";

/** One-way delays of each deployment, as its users measured them. */
export const DELAYS: Readonly<Record<DeploymentName, Delays>> = {
  hlasovka: { betweenZonesMs: 1.5, betweenRegionsMs: 55 },
  kinolenta: { betweenZonesMs: 1, betweenRegionsMs: 20 },
};

/** An entry VM of the layout. */
export interface LaidVm {
  readonly id: string;
  readonly place: Place;
  readonly region: string;
  readonly zone: string;
  readonly host: string;
}

/** A target of the layout. */
export interface LaidTarget {
  readonly service: string;
  readonly region: string;
  readonly zone: string;
  readonly options: TargetOptions;
}

/** What stands where. */
export interface Layout {
  readonly vms: readonly LaidVm[];
  readonly targets: readonly LaidTarget[];
}

/** What the layout is made from. */
export interface LayoutOptions {
  readonly preset: Preset;
  readonly delays: Delays;
  readonly ports: Ports;
  /** Number of entry VMs, spread over the regions in turn. */
  readonly vms: number;
  /** Most targets of one service in one region. */
  readonly targetsPerRegion: number;
}

/** Last part of the address of the first VM, and of the first target, in a zone. */
const FIRST_VM = 11;
const FIRST_TARGET = 101;
/** Last part of the address that callers in a zone connect from. */
export const CALLERS_NUMBER = 201;
/** Time that work takes where the request doesn't say, in milliseconds. */
const WORK_MS = 30;
/** How long a target that has started is cold; short, so that a demo sees the end of it. */
const COLD_MS = 3_000;

/** Lays a deployment out. */
export function layOut(options: LayoutOptions): Layout {
  const vms = Array.from(
    { length: options.vms },
    (_, index) => layVm(options.preset, index),
  );
  const targets = options.preset.regions.flatMap((_, index) =>
    layTargets(options, index)
  );
  return { vms, targets };
}

function layVm(preset: Preset, index: number): LaidVm {
  const regions = preset.regions;
  const regionIndex = index % regions.length;
  const inRegion = Math.floor(index / regions.length);
  const { id: region, zones } = regions[regionIndex]!;
  const zoneIndex = inRegion % zones.length;
  const place = { region: regionIndex + 1, zone: zoneIndex + 1 };
  return {
    id: `entry-${region}-${inRegion + 1}`,
    place,
    region,
    zone: zones[zoneIndex]!,
    host: addressAt(place, FIRST_VM + inRegion),
  };
}

function layTargets(
  options: LayoutOptions,
  regionIndex: number,
): readonly LaidTarget[] {
  const { id: region, zones } = options.preset.regions[regionIndex]!;
  let inRegion = 0;
  return options.preset.services.flatMap((service) => {
    const wanted = service.targets[region] ?? 0;
    const count = Math.min(wanted, options.targetsPerRegion);
    return Array.from({ length: count }, (_, index): LaidTarget => {
      const zoneIndex = inRegion % zones.length;
      const place = { region: regionIndex + 1, zone: zoneIndex + 1 };
      const number = FIRST_TARGET + Math.floor(inRegion / zones.length);
      inRegion += 1;
      return {
        service: service.id,
        region,
        zone: zones[zoneIndex]!,
        options: {
          id: `${service.id}-${region}-${index + 1}`,
          host: addressAt(place, number),
          port: options.ports.target,
          slots: service.slotsPerTarget,
          connections: service.connectionsPerTarget,
          workMs: WORK_MS,
          coldMs: COLD_MS,
          delays: options.delays,
        },
      };
    });
  });
}
