/**
 * The other VMs: which of them are up, and what they and this VM tell each other of
 * targets.
 *
 * @module
 */

import type { VmId } from "@poplarthread/ids";
import type { HashedPair } from "@poplarthread/placement";
import type { EventLog } from "./events.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import { PeerBeacon } from "./peer_beacon.ts";
import {
  type CommonFields,
  decodeSuspects,
  type Heartbeat,
  type ZoneReport,
} from "./peer_messages.ts";
import type { PlatformFeed } from "./platform_feed.ts";
import type { Member, WatchedSubject } from "./ports.ts";
import type { RequestPath } from "./request_path.ts";
import type { GatewaySettings } from "./settings.ts";
import { VmChanges } from "./vm_changes.ts";
import { type RankedMember, VmDirectory } from "./vm_directory.ts";
import { type AnnouncedEnd, VmRuns } from "./vm_runs.ts";

/** Dependencies of {@link Peers}. */
export interface PeersOptions {
  readonly settings: GatewaySettings;
  readonly self: Member;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  path(): RequestPath;
  feed(): Pick<PlatformFeed, "seen" | "hint">;
  /** Called with the VMs that are up when they have changed. */
  vmsChanged(up: readonly RankedMember[], now: number): void;
}

/** See the module comment. Times are milliseconds of the monotonic clock. */
export class Peers {
  readonly vms: VmDirectory;
  /** The task that sends and receives the messages; the gateway's supervisor runs it. */
  readonly beacon: PeerBeacon;
  readonly #options: PeersOptions;
  readonly #changes = new VmChanges();
  readonly #runs = new VmRuns();
  #hasMembers = false;
  #isLeaving = false;
  #hasFailed = false;
  #isServing = false;
  #hasServed = false;
  #isCutOff = false;
  #acceptsForwarded = false;
  #isOverloaded = false;
  #fleetSize: number | undefined;

  constructor(options: PeersOptions) {
    this.#options = options;
    this.vms = new VmDirectory({
      self: options.self,
      onChange: (member, change) => this.#changes.add(member, change),
    });
    this.vms.setServing(false);
    this.vms.setCutOff(!this.#servesOthers);
    this.beacon = this.#createBeacon();
  }

  /**
   * Sets whether this VM can serve callers. It sends no heartbeats before it can, and
   * leaves while it cannot any more.
   */
  setServing(isServing: boolean): void {
    this.#isServing = isServing;
    this.#hasServed ||= isServing;
    this.vms.setServing(isServing);
    this.beacon.send({ kind: "beat" });
    const now = performance.now();
    this.#options.vmsChanged(this.vms.up(now), now);
  }

  /** Tells the other VMs that this one is leaving. */
  leave(): void {
    this.#isLeaving = true;
    this.vms.leave();
    this.beacon.send({ kind: "beat" });
  }

  /** From now on the other VMs are told that this one leaves because it cannot go on. */
  setFailed(): void {
    this.#hasFailed = true;
  }

  /** Tells the other VMs whether this one reaches no target. */
  setCutOff(isCutOff: boolean): void {
    if (isCutOff !== this.#isCutOff) {
      this.#isCutOff = isCutOff;
      this.#publishServesOthers();
    }
  }

  /** Tells the other VMs whether they can forward requests to this one. */
  setAcceptsForwarded(acceptsForwarded: boolean): void {
    this.#acceptsForwarded = acceptsForwarded;
    this.#publishServesOthers();
  }

  /** Whether requests that other VMs forward can be served here. */
  get #servesOthers(): boolean {
    return this.#acceptsForwarded && !this.#isCutOff;
  }

  #publishServesOthers(): void {
    this.vms.setCutOff(!this.#servesOthers);
    this.beacon.send({ kind: "beat" });
  }

  /** Tells the other VMs whether this one lacks processor time for its callers. */
  setOverloaded(isOverloaded: boolean): void {
    this.#isOverloaded = isOverloaded;
    this.vms.setOverloaded(isOverloaded);
    this.beacon.send({ kind: "beat" });
  }

  /** Number of VMs that may be running, including this one, as of the last sweep; undefined until the list of VMs has been read. */
  get fleetSize(): number | undefined {
    return this.#fleetSize;
  }

  /** Periodic work: marks VMs as down whose heartbeats are missing. */
  sweep(now: number): void {
    this.vms.sweep(now);
    this.#publishChanges(now);
    this.#updateFleetSize(now);
  }

  /** Adds the VMs that are registered in the platform's store. */
  addRegistered(members: readonly Member[], now: number): void {
    this.vms.addRegistered(members, now);
    // VMs that start later read the list and send their first heartbeats themselves.
    if (!this.#hasMembers) {
      this.#hasMembers = true;
      this.#updateFleetSize(now);
      this.beacon.send({ kind: "beat" });
    }
  }

  #updateFleetSize(now: number): void {
    const { path, log } = this.#options;
    if (!this.#hasMembers) {
      return;
    }
    const fleetSize = this.vms.fleetSize(now);
    if (fleetSize !== this.#fleetSize) {
      log.write("fleet size changed", {
        fleetVms: fleetSize,
        fleetVmsBefore: this.#fleetSize ?? 0,
      });
      this.#fleetSize = fleetSize;
      path().steering.setFleetSize(fleetSize);
    }
  }

  #createBeacon(): PeerBeacon {
    const { settings, self, path, feed } = this.#options;
    const { vms } = this;
    return new PeerBeacon({
      listen: settings.listen.peers,
      seeds: () => this.#hasMembers ? [] : settings.seeds,
      isSilent: () => !this.#hasServed,
      zonePeers: () => vms.zonePeers(),
      reportRecipients: () => vms.reportRecipients(performance.now()),
      isZoneDelegate: () => vms.isZoneDelegate(performance.now()),
      warmRecipients: () => vms.warmRecipients(performance.now()),
      warmPairs: () => path().steering.warmPairs(performance.now()),
      warmReceived: (pairs) => this.#onWarmPairs(pairs),
      limitsReceived: (updates) =>
        updates.forEach((update) => path().applyPeerLimit(update)),
      suspects: (maxCrashes) =>
        path().suspects.reports(performance.now(), maxCrashes),
      zoneVmStatuses: () => vms.zoneVmStatuses(performance.now()),
      localState: () => ({
        member: self,
        isLeaving: this.#isLeaving || !this.#isServing,
        ...(this.#isLeaving || this.#isServing ? {} : { isPaused: true }),
        ...(this.#hasFailed ? { hasFailed: true } : {}),
        ...(this.#servesOthers ? {} : { isCutOff: true }),
        ...(this.#isOverloaded ? { isOverloaded: true } : {}),
        ...feed().seen,
      }),
      heartbeatReceived: (heartbeat) => this.#onHeartbeat(heartbeat),
      zoneReportReceived: (report) => this.#onZoneReport(report),
    });
  }

  #onHeartbeat(heartbeat: Heartbeat): void {
    const { member, ...state } = heartbeat;
    const now = performance.now();
    if (
      this.#isCurrent(heartbeat, now) &&
      this.vms.recordHeartbeat(member, { ...state, now })
    ) {
      this.beacon.send({ kind: "greet", member });
    }
    this.#publishChanges(now);
    this.#applyUpdates(heartbeat, now);
  }

  /** Counts the ends of processes that a heartbeat tells of; false if the sender's process was replaced. */
  #isCurrent(heartbeat: Heartbeat, now: number): boolean {
    const { self, log, metrics } = this.#options;
    const { member } = heartbeat;
    const { isReplaced, ends } = this.#runs.record(member, {
      announced: announcedEndOf(heartbeat),
      now,
    });
    // Of other zones, only some heartbeats come here.
    const counted = member.vm !== self.vm && member.zone === self.zone
      ? ends
      : [];
    for (const { instance, end } of counted) {
      metrics.vmEnded(end);
      if (end !== "stopped") {
        log.write("peer ended", { peer: instance, reason: end });
      }
    }
    return !isReplaced;
  }

  #onZoneReport(report: ZoneReport): void {
    const { ages, leaving, cutOff = [], overloaded = [] } = report;
    const now = performance.now();
    for (const [index, [name, ageMs]] of Object.entries(ages).entries()) {
      const vm = name as VmId;
      const isLeaving = leaving.includes(vm);
      const isCutOff = cutOff.includes(vm);
      const isOverloaded = overloaded.includes(index);
      this.vms.recordStatus(
        { vm, ageMs, isLeaving, isCutOff, isOverloaded },
        now,
      );
    }
    this.#publishChanges(now);
    this.#applyUpdates(report, now);
  }

  #onWarmPairs(pairs: readonly HashedPair[]): void {
    const now = performance.now();
    const { steering } = this.#options.path();
    for (const { object, target } of pairs) {
      steering.addWarmPair({ object, target }, now);
    }
  }

  #publishChanges(now: number): void {
    const { log, metrics, vmsChanged } = this.#options;
    const changes = this.#changes.take();
    for (const { change, instances } of changes) {
      metrics.stateChanged(`peer-${change}`, instances.length);
      log.write(`peer ${change}`, { peer: instances.join(" ") });
    }
    if (changes.length > 0) {
      vmsChanged(this.vms.up(now), now);
    }
  }

  #applyUpdates(
    { seen, era = 0, suspects = [] }: CommonFields,
    now: number,
  ): void {
    const { path, feed } = this.#options;
    decodeSuspects(suspects).forEach((report) =>
      path().suspects.merge(report, now)
    );
    for (const [subject, version] of Object.entries(seen)) {
      feed().hint(subject as WatchedSubject, { era, version });
    }
  }
}

function announcedEndOf(
  { isLeaving, isPaused, hasFailed }: Heartbeat,
): AnnouncedEnd | undefined {
  if (hasFailed) {
    return "failed";
  }
  return isLeaving && !isPaused ? "stopped" : undefined;
}
