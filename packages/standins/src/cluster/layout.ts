/**
 * The layout of a deployment: its VMs and targets with their locations and
 * loopback addresses, derived from a preset.
 *
 * @module
 */

import type { Preset } from "@poplarthread/config";
import { addressAt, type Delays, type Location } from "../delays.ts";
import type { DeploymentName } from "../presets.ts";
import type { TargetOptions } from "../target/switches.ts";
import type { Ports } from "./ports.ts";

/** One-way delays in the users' networks, by deployment. */
export const DELAYS_BY_DEPLOYMENT: Readonly<Record<DeploymentName, Delays>> = {
  hlasovka: { betweenZonesMs: 1.5, betweenRegionsMs: 55 },
  kinolenta: { betweenZonesMs: 1, betweenRegionsMs: 20 },
};

/** An entry VM of the layout. */
export interface VmLayout {
  readonly id: string;
  readonly location: Location;
  readonly region: string;
  readonly zone: string;
  readonly host: string;
}

/** A target of the layout. */
export interface TargetLayout {
  readonly service: string;
  readonly region: string;
  readonly zone: string;
  readonly options: TargetOptions;
}

/** The VMs and targets of a deployment. */
export interface Layout {
  readonly vms: readonly VmLayout[];
  readonly targets: readonly TargetLayout[];
}

/** Options of {@link createLayout}. */
export interface LayoutOptions {
  readonly preset: Preset;
  readonly delays: Delays;
  readonly ports: Ports;
  /** Number of entry VMs, assigned to the regions round-robin. */
  readonly vms: number;
  /** Largest number of targets per service and region. */
  readonly maxTargetsPerRegion: number;
}

/** Last byte of the first VM's address; further VMs of the region count up. */
const FIRST_VM_HOST_NUMBER = 11;
/** Last byte of the address of the first target in a zone. */
const FIRST_TARGET_HOST_NUMBER = 101;
/** Last byte of the address that callers in a zone connect from. */
export const CALLER_HOST_NUMBER = 201;
/** Duration of work if the request does not specify it. */
const DEFAULT_WORK_MS = 30;
/** Time that a target is cold after its start; short enough to end within a demo. */
const COLD_PERIOD_MS = 3_000;

/** Assigns locations and addresses to the VMs and targets of a deployment. */
export function createLayout(options: LayoutOptions): Layout {
  const vms = Array.from(
    { length: options.vms },
    (_, index) => layOutVm(options.preset, index),
  );
  const targets = options.preset.regions.flatMap((_, index) =>
    layOutTargets(options, index)
  );
  return { vms, targets };
}

function layOutVm(preset: Preset, index: number): VmLayout {
  const regions = preset.regions;
  const regionIndex = index % regions.length;
  const indexInRegion = Math.floor(index / regions.length);
  const { id: region, zones } = regions[regionIndex]!;
  const zoneIndex = indexInRegion % zones.length;
  const location = { region: regionIndex + 1, zone: zoneIndex + 1 };
  return {
    id: `entry-${region}-${indexInRegion + 1}`,
    location,
    region,
    zone: zones[zoneIndex]!,
    host: addressAt(location, FIRST_VM_HOST_NUMBER + indexInRegion),
  };
}

function layOutTargets(
  options: LayoutOptions,
  regionIndex: number,
): readonly TargetLayout[] {
  const { id: region, zones } = options.preset.regions[regionIndex]!;
  let indexInRegion = 0;
  return options.preset.services.flatMap((service) => {
    const configured = service.targets[region] ?? 0;
    const count = Math.min(configured, options.maxTargetsPerRegion);
    return Array.from({ length: count }, (_, index): TargetLayout => {
      const zoneIndex = indexInRegion % zones.length;
      const location = { region: regionIndex + 1, zone: zoneIndex + 1 };
      const number = FIRST_TARGET_HOST_NUMBER +
        Math.floor(indexInRegion / zones.length);
      indexInRegion += 1;
      return {
        service: service.id,
        region,
        zone: zones[zoneIndex]!,
        options: {
          id: `${service.id}-${region}-${index + 1}`,
          host: addressAt(location, number),
          port: options.ports.target,
          slots: service.slotsPerTarget,
          connections: service.connectionsPerTarget,
          workMs: DEFAULT_WORK_MS,
          coldMs: COLD_PERIOD_MS,
          delays: options.delays,
        },
      };
    });
  });
}
