/**
 * Look-ups: which entry VMs a caller should use, best first.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { Preset } from "@poplarthread/config";
import type { RegionId, VmId, ZoneId } from "@poplarthread/ids";
import type { LookupResponse, LookupVm } from "@poplarthread/operator-api";

/** What a ranking looks at. */
export interface LookupInput {
  readonly preset: Preset;
  /** VMs that may be named: live, not leaving, not drained. */
  readonly vms: readonly LookupVm[];
  /** The VM that answers. */
  readonly self: { readonly region: RegionId; readonly zone: ZoneId };
}

/**
 * Most VMs in one answer: two to use in each zone near the caller and some of
 * another region, in less than 2 KB.
 */
const MOST_VMS = 12;
/** Places kept for VMs of other regions, so that a region's loss leaves some. */
const OTHER_REGIONS = 4;

/** The answer for callers in `zone`. */
export function rankVms(input: LookupInput, zone: ZoneId): LookupResponse {
  const { preset, vms } = input;
  const region = regionOf(preset, zone) ?? input.self.region;
  const costs = new Map(
    vms.map((vm) => [vm.vm, delayTo(preset, region, vm.region)]),
  );
  const ranked = vms.toSorted((a, b) =>
    Number(b.zone === zone) - Number(a.zone === zone) ||
    Number(b.region === region) - Number(a.region === region) ||
    costs.get(a.vm)! - costs.get(b.vm)! ||
    // The same everywhere, yet another order for each zone: else every caller
    // of a region would go to the same VM of its neighbour first.
    spread(zone, a.vm) - spread(zone, b.vm)
  );
  return {
    vms: cutToSpan(ranked, preset.lookup.regions),
    lifetimeMs: preset.lookup.lifetimeMs,
  };
}

/** Keeps the best VMs, and among them some of `regions` regions at least. */
function cutToSpan(
  ranked: readonly LookupVm[],
  regions: number,
): readonly LookupVm[] {
  if (ranked.length <= MOST_VMS) {
    return ranked;
  }
  const near = ranked.slice(0, MOST_VMS - OTHER_REGIONS);
  const spanned = new Set(near.map((vm) => vm.region));
  const firsts: LookupVm[] = [];
  for (const vm of ranked) {
    if (spanned.size < regions && !spanned.has(vm.region)) {
      spanned.add(vm.region);
      firsts.push(vm);
    }
  }
  const rest = ranked.filter((vm) =>
    !near.includes(vm) && !firsts.includes(vm)
  );
  return [...near, ...firsts, ...rest].slice(
    0,
    Math.max(MOST_VMS, near.length + firsts.length),
  );
}

function regionOf(preset: Preset, zone: ZoneId): RegionId | undefined {
  return preset.regions.find((one) => one.zones.includes(zone))?.id;
}

function delayTo(preset: Preset, from: RegionId, to: RegionId): number {
  if (from === to) {
    return 0;
  }
  const link = preset.links.find((one) => one.from === from && one.to === to);
  return link?.oneWayMs ?? Infinity;
}

function spread(zone: ZoneId, vm: VmId): number {
  let hash = 0x811c9dc5;
  for (const char of `${zone} ${vm}`) {
    hash = Math.imul(hash ^ char.charCodeAt(0), 0x01000193);
  }
  return hash >>> 0;
}

/** An answer as bytes, made once for all who ask. */
export interface LookupPage {
  readonly lines: readonly string[];
  /** One byte a character, so that it leaves in one write with its header. */
  readonly body: string;
}

/** The pages of all zones, remade whenever VMs or preset change. */
export class Lookups {
  #input: LookupInput | undefined;
  #own: LookupPage | undefined;
  readonly #byZone = new Map<string, LookupPage>();

  /** Takes what the answers rest on; undefined until something is in force. */
  set(input: LookupInput): void {
    this.#input = input;
    this.#byZone.clear();
    this.#own = toPage(rankVms(input, input.self.zone));
    for (const zone of input.preset.regions.flatMap((one) => one.zones)) {
      this.#byZone.set(zone, toPage(rankVms(input, zone)));
    }
  }

  /** The answer for a caller that names no zone; undefined before `set`. */
  get ownPage(): LookupPage | undefined {
    return this.#own;
  }

  /** The answer for callers of a zone; for an unknown one, that of this VM's. */
  page(zone: string | undefined): LookupPage | undefined {
    return zone === undefined ? this.#own : this.#byZone.get(zone) ?? this.#own;
  }

  /** The same answer as a value. */
  answer(zone: ZoneId | undefined): LookupResponse {
    const input = this.#input;
    return input === undefined
      ? { vms: [], lifetimeMs: 1_000 }
      : rankVms(input, zone ?? input.self.zone);
  }
}

function toPage(answer: LookupResponse): LookupPage {
  const body = Buffer.from(JSON.stringify(answer)).toString("latin1");
  // Rounded down: a shared cache must not keep it for longer than it holds.
  const seconds = Math.floor(answer.lifetimeMs / 1_000);
  return {
    lines: [
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
