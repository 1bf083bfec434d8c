/**
 * This VM's view of the fleet: entry VMs and targets, merged from the platform's
 * list, membership, drains and leaving notices.
 *
 * @module
 */

import type { Configuration } from "@poplarthread/config";
import type { Member } from "@poplarthread/coordination";
import type { TargetId, VmId, ZoneId } from "@poplarthread/ids";
import type { VmStatus } from "@poplarthread/operator-api";
import type { ListedEntry, ListedTarget, ListedVm } from "./platform_client.ts";
import { Task } from "./task.ts";

/** An entry VM as listed, with its effective state. */
export interface FleetVm extends ListedEntry {
  /** State merged from the list, membership and drains. */
  readonly effectiveState: VmStatus["state"];
}

/** A target as listed, with its current state. */
export interface FleetTarget extends ListedTarget {
  readonly leaving: boolean;
  readonly cold: boolean;
}

/** All entry VMs and targets that the platform lists. */
export interface FleetView {
  readonly vms: readonly FleetVm[];
  readonly targets: readonly FleetTarget[];
}

/** Messages of the task. */
export type FleetMessage =
  | { readonly kind: "listed"; readonly vms: readonly ListedVm[] }
  | { readonly kind: "member"; readonly member: Member }
  | { readonly kind: "forgotten"; readonly vm: VmId }
  | { readonly kind: "configuration"; readonly configuration: Configuration }
  /** A notice, from any source, that the target is leaving. */
  | { readonly kind: "target-leaving"; readonly target: TargetId }
  /** The leaving notice has expired: the listed state applies again. */
  | { readonly kind: "target-staying"; readonly target: TargetId }
  | {
    readonly kind: "target-cold";
    readonly target: TargetId;
    readonly cold: boolean;
  }
  | { readonly kind: "self-leaving" };

/** Options of {@link FleetTask}. */
export interface FleetOptions {
  readonly self: VmId;
  /** Called with each view that differs from the previous one. */
  readonly onView: (view: FleetView) => void;
}

/** Merges its sources into a {@link FleetView}. */
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
  #isSelfLeaving = false;
  #view: FleetView = { vms: [], targets: [] };
  #viewJson = "";

  constructor(options: FleetOptions) {
    super("fleet");
    this.#options = options;
  }

  get view(): FleetView {
    return this.#view;
  }

  /** Time of the last read of the platform's list, on the monotonic clock. */
  get listedAt(): number {
    return this.#listedAt;
  }

  /** Whether the platform's list has been read at least once. */
  get hasList(): boolean {
    return this.#hasList;
  }

  /** Address of a VM's peer listener. */
  peerAddress(vm: VmId): string | undefined {
    return this.#members.get(vm)?.address ??
      this.#view.vms.find((one) => one.id === vm)?.peer;
  }

  /** The member that runs an instance; undefined if there is none. */
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
        this.#isSelfLeaving = true;
        break;
    }
    this.#update();
  }

  protected override close(): void {
    this.#viewJson = "";
  }

  #setDrains({ drains }: Configuration): void {
    this.#drainedVms = idsOf(drains, "vm");
    this.#drainedZones = idsOf(drains, "zone");
  }

  #update(): void {
    const view: FleetView = {
      vms: this.#listed
        .filter((one) => one.role === "entry")
        .map((one) => ({
          ...one,
          effectiveState: this.#effectiveStateOf(one),
        })),
      targets: this.#listed
        .filter((one) => one.role === "target")
        .map((one) => ({
          ...one,
          leaving: one.state === "leaving" || this.#leavingTargets.has(one.id),
          cold: this.#coldTargets.has(one.id),
        })),
    };
    const viewJson = JSON.stringify(view);
    if (viewJson !== this.#viewJson) {
      this.#viewJson = viewJson;
      this.#view = view;
      this.#options.onView(view);
    }
  }

  /**
   * Membership takes precedence over the list, which lags, except where the list
   * shows a VM as leaving, which it never does in error.
   */
  #effectiveStateOf(entry: ListedEntry): VmStatus["state"] {
    if (entry.id === this.#options.self && this.#isSelfLeaving) {
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
