/**
 * Fleets of membership cores on a virtual clock, spread over zones as the size
 * to design for has them.
 *
 * @module
 */

import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  type Member,
  Membership,
  type MembershipEffect,
  type MembershipMessage,
} from "@poplarthread/coordination";
import { VirtualNet } from "@poplarthread/coordination/virtual";
import {
  id,
  type InstanceId,
  type RegionId,
  type VmId,
  type ZoneId,
} from "@poplarthread/ids";

const SEED = 5;
const ZONES = 25;
const REGIONS = 10;
/** One-way delays of the larger deployment of today, in ms. */
const DELAY_MS = { zone: 1, region: 2, afar: 55 } as const;

/** One-way delay between two VMs. */
export function delayBetween(from: string, to: string): number {
  const [a, b] = [numberOf(from), numberOf(to)];
  if (a % ZONES === b % ZONES) {
    return DELAY_MS.zone;
  }
  const isNear = a % ZONES % REGIONS === b % ZONES % REGIONS;
  return isNear ? DELAY_MS.region : DELAY_MS.afar;
}

function numberOf(vm: string): number {
  return Number(vm.slice("entry-".length));
}

/** The n-th VM of a fleet, with names and addresses as long as real ones. */
export function memberAt(n: number): Member {
  const zone = n % ZONES;
  const region = zone % REGIONS;
  const digits = String(n).padStart(4, "0");
  return {
    vm: id<VmId>(`entry-${digits}`),
    instance: id<InstanceId>(`00000000-0000-4000-8000-00000000${digits}`),
    region: id<RegionId>(`region-${region}`),
    zone: id<ZoneId>(`region-${region}-${Math.floor(zone / REGIONS)}`),
    address: `10.${zone}.${Math.floor(n / 250)}.${n % 250}:18004`,
    incarnation: 0,
    state: "joined",
  };
}

/** A fleet that has known itself for a while, or one of which all start at once. */
export class MembershipFleet {
  readonly size: number;
  readonly net: VirtualNet<MembershipMessage>;
  readonly cores = new Map<string, Membership>();
  onSend: (message: MembershipMessage) => void = () => undefined;
  onEffect: (at: string, effect: MembershipEffect) => void = () => undefined;

  constructor(size: number, options: { knowsItself: boolean }) {
    this.size = size;
    this.net = new VirtualNet<MembershipMessage>({
      random: xoroshiro128plus(SEED),
      tickMs: 100,
      delay: delayBetween,
      onSend: (_from, _to, message) => this.onSend(message),
      onEffect: (at, effect) => this.onEffect(at, effect as MembershipEffect),
    });
    const members = Array.from({ length: size }, (_, n) => memberAt(n));
    for (const [n, self] of members.entries()) {
      const core = new Membership({ self, random: xoroshiro128plus(SEED + n) });
      core.listed(members.map((one) => ({ ...one, state: "live" })), 0);
      this.cores.set(self.vm, core);
      this.net.add(self.vm, core);
      if (!options.knowsItself) {
        continue;
      }
      // As after a comparison of views with someone who knows all.
      core.receive({
        kind: "entries",
        from: members[(n + 1) % size]!,
        buckets: [],
        news: members.map((member) => ({ kind: "member", member })),
        reply: false,
      }, 0);
    }
  }

  /** Times in ms until each other member holds `vm` to be in one of the states. */
  timesUntil(
    vm: string,
    states: readonly Member["state"][],
    { withinMs, act }: { withinMs: number; act: () => void },
  ): readonly number[] {
    const start = this.net.now;
    const times = new Map<string, number>();
    this.onEffect = (at, effect) => {
      const isIt = effect.kind === "changed" && effect.member.vm === vm &&
        states.includes(effect.member.state);
      if (isIt && at !== vm && !times.has(at)) {
        times.set(at, this.net.now - start);
      }
    };
    act();
    this.net.run(withinMs, () => times.size >= this.size - 1);
    this.onEffect = () => undefined;
    return [...times.values()].sort((a, b) => a - b);
  }
}
