/**
 * Look-ups: ranks the entry VMs that a caller should use, best first.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { Preset } from "@poplarthread/config";
import type { RegionId, VmId, ZoneId } from "@poplarthread/ids";
import type { LookupResponse, LookupVm } from "@poplarthread/operator-api";

/** Inputs of a ranking. */
export interface LookupInput {
  readonly preset: Preset;
  /** VMs that may be named: live, not leaving, not drained. */
  readonly vms: readonly LookupVm[];
  /** Location of the VM that responds. */
  readonly self: { readonly region: RegionId; readonly zone: ZoneId };
}

/**
 * Maximum number of VMs in a response: two in each zone near the caller and some of
 * another region, in less than 2 KB.
 */
const MAX_VMS = 12;
/** Entries reserved for VMs of other regions, so that some remain when a region is lost. */
const OTHER_REGION_SLOTS = 4;

/** The response for callers in `zone`. */
export function rankVms(input: LookupInput, zone: ZoneId): LookupResponse {
  const { preset, vms } = input;
  const region = regionOf(preset, zone) ?? input.self.region;
  const delaysMs = new Map(
    vms.map((vm) => [vm.vm, delayMsTo(preset, region, vm.region)]),
  );
  const ranked = vms.toSorted((a, b) =>
    Number(b.zone === zone) - Number(a.zone === zone) ||
    Number(b.region === region) - Number(a.region === region) ||
    delaysMs.get(a.vm)! - delaysMs.get(b.vm)! ||
    // The same order on all VMs, but a different one for each zone: otherwise all
    // callers of a region would use the same VM of a neighbouring region first.
    zoneHash(zone, a.vm) - zoneHash(zone, b.vm)
  );
  return {
    vms: limitAcrossRegions(ranked, preset.lookup.regions),
    lifetimeMs: preset.lookup.lifetimeMs,
  };
}

/** Truncates the list to the best VMs, with VMs of at least `regions` regions among them. */
function limitAcrossRegions(
  ranked: readonly LookupVm[],
  regions: number,
): readonly LookupVm[] {
  if (ranked.length <= MAX_VMS) {
    return ranked;
  }
  const near = ranked.slice(0, MAX_VMS - OTHER_REGION_SLOTS);
  const coveredRegions = new Set(near.map((vm) => vm.region));
  const nearestOfRegions: LookupVm[] = [];
  for (const vm of ranked) {
    if (coveredRegions.size < regions && !coveredRegions.has(vm.region)) {
      coveredRegions.add(vm.region);
      nearestOfRegions.push(vm);
    }
  }
  const rest = ranked.filter((vm) =>
    !near.includes(vm) && !nearestOfRegions.includes(vm)
  );
  return [...near, ...nearestOfRegions, ...rest].slice(
    0,
    Math.max(MAX_VMS, near.length + nearestOfRegions.length),
  );
}

function regionOf(preset: Preset, zone: ZoneId): RegionId | undefined {
  return preset.regions.find((one) => one.zones.includes(zone))?.id;
}

function delayMsTo(preset: Preset, from: RegionId, to: RegionId): number {
  if (from === to) {
    return 0;
  }
  const link = preset.links.find((one) => one.from === from && one.to === to);
  return link?.oneWayMs ?? Infinity;
}

function zoneHash(zone: ZoneId, vm: VmId): number {
  let hash = 0x811c9dc5;
  for (const char of `${zone} ${vm}`) {
    hash = Math.imul(hash ^ char.charCodeAt(0), 0x01000193);
  }
  return hash >>> 0;
}

/** A serialized response, built once for all callers of a zone. */
export interface LookupPage {
  readonly headers: readonly string[];
  /** Latin-1, one byte per character, so that it is sent in one write with its headers. */
  readonly body: string;
}

/** The serialized responses of all zones, rebuilt whenever the VMs or the preset change. */
export class Lookups {
  #input: LookupInput | undefined;
  #localPage: LookupPage | undefined;
  readonly #byZone = new Map<string, LookupPage>();

  /** Sets the inputs and rebuilds all responses. */
  set(input: LookupInput): void {
    this.#input = input;
    this.#byZone.clear();
    this.#localPage = toPage(rankVms(input, input.self.zone));
    for (const zone of input.preset.regions.flatMap((one) => one.zones)) {
      this.#byZone.set(zone, toPage(rankVms(input, zone)));
    }
  }

  /** The response for a caller that names no zone; undefined before `set`. */
  get localPage(): LookupPage | undefined {
    return this.#localPage;
  }

  /** The response for callers of a zone, or of this VM's zone if it is unknown. */
  page(zone: string | undefined): LookupPage | undefined {
    return zone === undefined
      ? this.#localPage
      : this.#byZone.get(zone) ?? this.#localPage;
  }

  /** The same response, not serialized. */
  response(zone: ZoneId | undefined): LookupResponse {
    const input = this.#input;
    return input === undefined
      ? { vms: [], lifetimeMs: 1_000 }
      : rankVms(input, zone ?? input.self.zone);
  }
}

function toPage(response: LookupResponse): LookupPage {
  const body = Buffer.from(JSON.stringify(response)).toString("latin1");
  // Rounded down so that no cache keeps the response beyond its lifetime.
  const seconds = Math.floor(response.lifetimeMs / 1_000);
  return {
    headers: [
      "content-type",
      "application/json",
      "content-length",
      String(body.length),
      "cache-control",
      `private, max-age=${seconds}`,
    ],
    body,
  };
}
