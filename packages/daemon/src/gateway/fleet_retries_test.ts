/**
 * The retries of all VMs together while they do not hear of each other.
 *
 * @module
 */

import fc from "fast-check";
import { describe, expect, test } from "vitest";
import type { RegionId, ZoneId } from "@poplarthread/ids";
import { FleetRetryBudget } from "@poplarthread/placement";
import type { Member } from "./ports.ts";
import { memberNamed } from "./testing.ts";
import { VmDirectory } from "./vm_directory.ts";

const REGIONS = 3;
const ZONES_PER_REGION = 2;
const WINDOW_MS = 10_000;
/** Interval of heartbeats and of sweeps. */
const BEAT_MS = 1_000;
const MINUTE_MS = 60_000;
/** Far longer than heartbeats and reports may be missing. */
const SEPARATED_MS = 30_000;
/** Numbers of VMs, and the retries that all of them together may send. */
const SIZES = [
  { vms: 9, fixed: 58 },
  { vms: 119, fixed: 301 },
  { vms: 195, fixed: 430 },
];
const HOUR_MS = 3_600_000;

/** Whether one VM hears of another, both by their number. */
type Hears = (vm: number, other: number) => boolean;

const NOBODY: Hears = () => false;
const OWN_REGION: Hears = (vm, other) => vm % REGIONS === other % REGIONS;
const OWN_ZONE: Hears = (vm, other) =>
  memberOf(vm).zone === memberOf(other).zone;
const FIRST_OF_ZONES: Hears = (_, other) => other < REGIONS * ZONES_PER_REGION;
const TEN: Hears = (vm, other) =>
  Math.floor(vm / 10) === Math.floor(other / 10);

/** VMs that know of all others, and hear of them at first. */
class SimulatedFleet {
  readonly #members: readonly Member[];
  readonly #directories: readonly VmDirectory[];
  #now = 0;

  constructor(size: number, { isHeard = true } = {}) {
    this.#members = Array.from({ length: size }, (_, vm) => memberOf(vm));
    this.#directories = this.#members.map((self) => {
      const vms = new VmDirectory({ self, onChange: () => undefined });
      vms.addRegistered(this.#members, 0);
      return vms;
    });
    if (isHeard) {
      this.#beat(() => true);
    }
  }

  /** The time passes, and each VM hears of those that `hears` names. */
  run(ms: number, hears: Hears, { isLeaving = NOBODY } = {}): void {
    for (const until = this.#now + ms; this.#now < until;) {
      this.#now += BEAT_MS;
      this.#beat(hears, isLeaving);
    }
  }

  /** The time passes, and no VM runs meanwhile. */
  pause(ms: number): void {
    this.#now += ms;
    this.#directories.forEach((vms) => vms.sweep(this.#now));
  }

  /** The number of VMs, as a VM counts them. */
  sizeSeenBy(vm: number): number {
    return this.#directories[vm]!.fleetSize(this.#now);
  }

  /** The most retries of the fixed number that all VMs together send now. */
  countRetries(fixed: number): number {
    const bound = { ratio: 0.2, fixed, windowMs: WINDOW_MS };
    return this.#directories.reduce((sum, vms) => {
      const budget = new FleetRetryBudget(bound);
      let retries = 0;
      const size = vms.fleetSize(this.#now);
      while (
        budget.tryReserve(this.#now, size) && budget.trySend(this.#now, size)
      ) {
        retries += 1;
      }
      return sum + retries;
    }, 0);
  }

  #beat(hears: Hears, leaves: Hears = NOBODY): void {
    this.#directories.forEach((vms, at) => {
      this.#members.forEach((member, other) => {
        if (at === other || !hears(at, other)) {
          return;
        }
        const isLeaving = leaves(at, other);
        if (member.zone === vms.self.zone) {
          vms.recordHeartbeat(member, { now: this.#now, isLeaving });
        } else {
          const { vm } = member;
          vms.recordStatus({ vm, ageMs: 0, isLeaving }, this.#now);
        }
      });
      vms.sweep(this.#now);
    });
  }
}

function memberOf(vm: number): Member {
  const region = `region-${vm % REGIONS}`;
  const zone = Math.floor(vm / REGIONS) % ZONES_PER_REGION;
  return memberNamed(`vm-${vm}`, {
    region: region as RegionId,
    zone: `${region}-${zone}` as ZoneId,
  });
}

describe("the fixed number of retries holds over all VMs", () => {
  test.each<[string, Hears]>([
    ["no others", NOBODY],
    ["nine others", TEN],
    ["their zones", OWN_ZONE],
    ["their regions", OWN_REGION],
  ])(
    // Guards against VMs that take those they do not hear of for gone.
    "while VMs hear only of %s",
    (_, hears) => {
      for (const { vms, fixed } of SIZES) {
        const fleet = new SimulatedFleet(vms);
        fleet.run(SEPARATED_MS, hears);
        expect(fleet.countRetries(fixed)).toBeLessThanOrEqual(fixed);
      }
      const small = new SimulatedFleet(12);
      small.run(HOUR_MS, hears);
      expect(small.countRetries(64)).toBeLessThanOrEqual(64);
    },
  );

  test("when VMs that were paused go on and have heard nothing yet", () => {
    // Guards against a pause that counts as silence of the others.
    const fleet = new SimulatedFleet(119);
    fleet.run(MINUTE_MS, () => true);
    fleet.pause(3 * HOUR_MS);
    expect(fleet.countRetries(301)).toBeLessThanOrEqual(301);
  });

  test("when VMs start while they are cut off from each other", () => {
    // Guards against VMs that know the others from the store's list alone.
    const fleet = new SimulatedFleet(119, { isHeard: false });
    fleet.run(MINUTE_MS, OWN_ZONE);
    expect(fleet.countRetries(301)).toBeLessThanOrEqual(301);
  });

  test("when such a cut ends and one VM of each zone is heard first", () => {
    // Guards against a zone whose VMs count as gone before they can be heard.
    const fleet = new SimulatedFleet(119, { isHeard: false });
    fleet.run(MINUTE_MS, NOBODY);
    fleet.run(BEAT_MS, FIRST_OF_ZONES);
    expect(fleet.countRetries(301)).toBeLessThanOrEqual(301);
  });

  test("in any order of cuts and pauses", () => {
    // Guards against VMs that take those they do not hear of for gone.
    const step = fc.record({
      ms: fc.integer({ min: 1_000, max: 5 * MINUTE_MS }),
      groups: fc.array(fc.integer({ min: 0, max: 3 }), {
        minLength: 12,
        maxLength: 12,
      }),
      isPause: fc.boolean(),
    });
    fc.assert(
      fc.property(
        fc.array(step, { minLength: 1, maxLength: 4 }),
        (steps) => {
          const fleet = new SimulatedFleet(12);
          for (const { ms, groups, isPause } of steps) {
            if (isPause) {
              fleet.pause(ms);
            } else {
              fleet.run(ms, (vm, other) => groups[vm] === groups[other]);
            }
            expect(fleet.countRetries(64)).toBeLessThanOrEqual(64);
          }
        },
      ),
      { numRuns: 20, seed: 51 },
    );
  });
});

describe("the fixed number of retries is divided by fewer VMs", () => {
  test("once the others have been silent for hours", () => {
    // Guards against a bound that leaves nothing to the VMs that remain.
    const fleet = new SimulatedFleet(12);
    fleet.run(3 * HOUR_MS, OWN_REGION);
    expect(fleet.sizeSeenBy(0)).toBe(4);
  });

  test("once rows of VMs that ended long ago have not been confirmed", () => {
    // Guards against a list that names every VM that ever ran.
    const fleet = new SimulatedFleet(12, { isHeard: false });
    fleet.run(MINUTE_MS, FIRST_OF_ZONES);
    expect(fleet.sizeSeenBy(0)).toBe(6);
  });

  test("once VMs have said that they leave", () => {
    const fleet = new SimulatedFleet(12);
    fleet.run(1_000, () => true, { isLeaving: OWN_REGION });
    fleet.run(MINUTE_MS, NOBODY);
    expect(fleet.sizeSeenBy(0)).toBe(9);
  });
});
