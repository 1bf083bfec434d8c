/**
 * The fleet as this VM sees it: entry VMs and targets, put together from the
 * platform's list, membership, drains and signs of leaving.
 *
 * @module
 */

import type { Configuration } from "@poplarthread/config";
import type { Member } from "@poplarthread/coordination";
import type { TargetId, VmId, ZoneId } from "@poplarthread/ids";
import type { VmStatus } from "@poplarthread/operator-api";
import type { ListedEntry, ListedTarget, ListedVm } from "./platform_client.ts";
import { Task } from "./task.ts";

/** An entry VM with everything that is known of it. */
export interface FleetVm extends ListedEntry {
  /** What is believed of it. */
  readonly belief: VmStatus["state"];
}

/** A target with everything that is known of it. */
export interface FleetTarget extends ListedTarget {
  readonly leaving: boolean;
  readonly cold: boolean;
}

/** The whole view. */
export interface FleetView {
  readonly vms: readonly FleetVm[];
  readonly targets: readonly FleetTarget[];
}

/** What the task is told. */
export type FleetMessage =
  | { readonly kind: "listed"; readonly vms: readonly ListedVm[] }
  | { readonly kind: "member"; readonly member: Member }
  | { readonly kind: "forgotten"; readonly vm: VmId }
  | { readonly kind: "configuration"; readonly configuration: Configuration }
  /** A sign of leaving, from whatever source. */
  | { readonly kind: "target-leaving"; readonly target: TargetId }
  /** The sign has expired: the list decides again. */
  | { readonly kind: "target-staying"; readonly target: TargetId }
  | {
    readonly kind: "target-cold";
    readonly target: TargetId;
    readonly cold: boolean;
  }
  | { readonly kind: "self-leaving" };

/** Construction of the task. */
export interface FleetOptions {
  readonly self: VmId;
  /** Called with each view that differs from the one before. */
  readonly onView: (view: FleetView) => void;
}

/** Puts the view together. */
export class FleetTask extends Task<FleetMessage> {
  readonly #options: FleetOptions;
  #listed: readonly ListedVm[] = [];
  #hasList = false;
  #listedAt = 0;
  readonly #members = new Map<VmId, Member>();
  readonly #leavingTargets = new Set<TargetId>();
  readonly #coldTargets = new Set<TargetId>();
  #drainedVms: ReadonlySet<string> = new Set();
  #drainedZones: ReadonlySet<string> = new Set();
  #selfLeaving = false;
  #view: FleetView = { vms: [], targets: [] };
  #signature = "";

  constructor(options: FleetOptions) {
    super("fleet");
    this.#options = options;
  }

  get view(): FleetView {
    return this.#view;
  }

  /** When the platform's list was last read, on the monotonic clock. */
  get listedAt(): number {
    return this.#listedAt;
  }

  /** Whether the platform's list was ever seen. */
  get hasList(): boolean {
    return this.#hasList;
  }

  /** Where a VM's listener for peers is. */
  peerAddress(vm: VmId): string | undefined {
    return this.#members.get(vm)?.address ??
      this.#view.vms.find((one) => one.id === vm)?.peer;
  }

  /** The VM of an instance; undefined where no member has that instance. */
  memberOf(instance: string): Member | undefined {
    for (const member of this.#members.values()) {
      if (member.instance === instance) {
        return member;
      }
    }
    return undefined;
  }

  get members(): readonly Member[] {
    return [...this.#members.values()];
  }

  protected override open(): void {}

  protected override receive(message: FleetMessage): void {
    switch (message.kind) {
      case "listed":
        this.#listed = message.vms;
        this.#listedAt = performance.now();
        this.#hasList = true;
        break;
      case "member":
        this.#members.set(message.member.vm, message.member);
        break;
      case "forgotten":
        this.#members.delete(message.vm);
        break;
      case "configuration":
        this.#setDrains(message.configuration);
        break;
      case "target-leaving":
        if (this.#leavingTargets.has(message.target)) {
          return;
        }
        this.#leavingTargets.add(message.target);
        break;
      case "target-staying":
        this.#leavingTargets.delete(message.target);
        break;
      case "target-cold":
        if (message.cold === this.#coldTargets.has(message.target)) {
          return;
        }
        if (message.cold) {
          this.#coldTargets.add(message.target);
        } else {
          this.#coldTargets.delete(message.target);
        }
        break;
      case "self-leaving":
        this.#selfLeaving = true;
        break;
    }
    this.#update();
  }

  protected override close(): void {
    this.#signature = "";
  }

  #setDrains({ drains }: Configuration): void {
    this.#drainedVms = idsOf(drains, "vm");
    this.#drainedZones = idsOf(drains, "zone");
  }

  #update(): void {
    const view: FleetView = {
      vms: this.#listed
        .filter((one) => one.role === "entry")
        .map((one) => ({ ...one, belief: this.#beliefOf(one) })),
      targets: this.#listed
        .filter((one) => one.role === "target")
        .map((one) => ({
          ...one,
          leaving: one.state === "leaving" || this.#leavingTargets.has(one.id),
          cold: this.#coldTargets.has(one.id),
        })),
    };
    const signature = JSON.stringify(view);
    if (signature !== this.#signature) {
      this.#signature = signature;
      this.#view = view;
      this.#options.onView(view);
    }
  }

  /**
   * Heartbeats know better than the list, which lags; but the list is believed
   * where it says that a VM is leaving, since that is never said in error.
   */
  #beliefOf(entry: ListedEntry): VmStatus["state"] {
    if (entry.id === this.#options.self && this.#selfLeaving) {
      return "leaving";
    }
    const state = this.#members.get(entry.id)?.state ?? "joined";
    if (state === "dead") {
      return "dead";
    }
    if (state === "leaving" || entry.state === "leaving") {
      return "leaving";
    }
    if (this.#isDrained(entry.id, entry.zone)) {
      return "drained";
    }
    return state === "suspect" ? "suspect" : "live";
  }

  #isDrained(vm: VmId, zone: ZoneId): boolean {
    return this.#drainedVms.has(vm) || this.#drainedZones.has(zone);
  }
}

function idsOf(
  drains: Configuration["drains"],
  kind: Configuration["drains"][number]["kind"],
): ReadonlySet<string> {
  return new Set(
    drains.filter((one) => one.kind === kind).map((one) => one.id),
  );
}
