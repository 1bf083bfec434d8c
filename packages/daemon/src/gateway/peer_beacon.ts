/**
 * Exchanges heartbeats, warm-target updates and limit updates between VMs, as JSON-RPC
 * 2.0 notifications in datagrams.
 *
 * VMs of one zone send each other heartbeats. Two VMs of each zone, its delegates, report
 * to the VMs of other zones which VMs of theirs are up; to other regions less often,
 * because traffic between regions is expensive and few decisions depend on VMs there.
 *
 * Datagrams, because a connection that is dead without a reset looks the same as an idle
 * peer, and because a lost heartbeat is followed by the next one anyway.
 *
 * @module
 */

import { createSocket, type Socket } from "node:dgram";
import type { HeldBackReport } from "@poplarthread/coordination/held_back";
import type { HashedPair } from "@poplarthread/placement";
import { bind } from "../listen.ts";
import { Task } from "../task.ts";
import {
  decodeLimits,
  LIMIT_UPDATE_INTERVAL_MS,
  type LimitUpdate,
  LimitUpdates,
} from "./limit_updates.ts";
import {
  decodeNotification,
  encodeNotification,
  encodeSuspect,
  hasCommonFields,
  type Heartbeat,
  isHeartbeat,
  isWarmUpdate,
  isZoneReport,
  type ZoneReport,
} from "./peer_messages.ts";
import type { Member } from "./ports.ts";
import type { ListenAddress } from "./settings.ts";
import type { VmStatus } from "./vm_directory.ts";
import { decodePairs, encodePairs, WarmUpdates } from "./warm_updates.ts";

/** Interval of heartbeats. A VM counts as down after three missing ones. */
const HEARTBEAT_MS = 1_000;
/** One zone report to VMs of other regions per this many heartbeats. */
const HEARTBEATS_PER_REMOTE_REPORT = 2;
/** Crashes in one heartbeat, each about 30 bytes, so that a datagram stays below 1,400 bytes. */
const MAX_CRASHES_PER_HEARTBEAT = 16;
/** Crashes in one zone report: fewer, since the report also lists VMs. */
const MAX_CRASHES_PER_ZONE_REPORT = 8;
/**
 * Intervals of warm-target updates within the zone and to the region's other zones. A
 * request takes 250 to 600 ms longer on a target that is cold for its object, so older
 * updates save little. Other zones get updates less often and from only one VM of the
 * zone, because traffic between zones is billed.
 */
const ZONE_WARM_INTERVAL_MS = 250;
const REGION_WARM_INTERVAL_MS = 500;
/**
 * Smallest interval of warm-target updates for each VM that receives them. Every VM sends
 * to all others of its zone, so at a fixed interval the datagrams grow with the square of
 * the zone's size: with eleven VMs in a zone they took more processor time than they
 * saved. With these intervals a VM receives ten datagrams a second from its zone,
 * whatever its size, and one VM sends fifty a second to other zones.
 */
const ZONE_WARM_INTERVAL_PER_VM_MS = 100;
const REGION_WARM_INTERVAL_PER_VM_MS = 20;
/** How often a VM with pending updates that doesn't send to other zones checks whether it has become the one that does. */
const DELEGATE_CHECK_MS = 3_000;
/** News of several crashes goes into one heartbeat: when a zone falls, many requests break at the same moment. */
const SUSPECTS_DELAY_MS = 100;
/** VMs in one zone report; each takes about 35 bytes. */
const MAX_VMS_PER_REPORT = 25;

/** Most recently used pairs that each delegate sends to a VM that has just started: 8 datagrams. */
const MAX_GREETING_PAIRS = 800;

/** Methods for warm-target updates: "warm" comes from a VM of the same zone and is forwarded to other zones. */
type WarmMethod = "warm" | "zone-warm";

/** Publication of warm-target updates to the zone or to the region's other zones. */
type WarmPublication = "publish-warm-to-zone" | "publish-warm-to-region";

/** A publication that is scheduled. */
type Publication = WarmPublication | "publish-limits" | "publish-suspects";

/** Methods for limit updates, as with {@link WarmMethod}. */
type LimitMethod = "limits" | "zone-limits";

/** Messages to the task. */
export type PeerBeaconMessage =
  /** This VM has warmed a target; published to the region's VMs soon. */
  | { readonly kind: "warmed"; readonly pair: HashedPair }
  /** Publishes pending warm-target updates to the zone. */
  | { readonly kind: "publish-warm-to-zone" }
  /** Publishes them to the region's other zones, if this VM does that for its zone. */
  | { readonly kind: "publish-warm-to-region" }
  /** Sends a heartbeat to all peers now, out of schedule. */
  | { readonly kind: "beat" }
  /** Sends the next scheduled heartbeat. */
  | { readonly kind: "heartbeat" }
  /** Sends a heartbeat and warm pairs to a peer whose first heartbeat has just arrived. */
  | { readonly kind: "greet"; readonly member: Member }
  /** There is news of requests that may crash targets; a heartbeat with it is sent to all VMs soon. */
  | { readonly kind: "suspects" }
  /** Sends that heartbeat. */
  | { readonly kind: "publish-suspects" }
  /** A target has set, changed or lifted its limit; published to all VMs soon. */
  | { readonly kind: "limit"; readonly update: LimitUpdate }
  /** Publishes pending limit updates. */
  | { readonly kind: "publish-limits" };

/** Contents of a heartbeat, except suspects. */
type LocalState = Omit<Heartbeat, "crashes" | "suspects">;

/** Options of a {@link PeerBeacon}. */
export interface PeerBeaconOptions {
  readonly listen: ListenAddress;
  /** Addresses, `host:port`, to contact besides the known peers. Empty once peers are known, since all VMs have the same few. */
  seeds(): readonly string[];
  /** Whether this VM sends no heartbeats and zone reports, so that it is not up for the others. */
  isSilent(): boolean;
  /** Other VMs of the zone. */
  zonePeers(): readonly Member[];
  /** VMs of other zones to which this VM sends zone reports; none if it is not a delegate. */
  reportRecipients(): readonly Member[];
  /** Whether this VM is a delegate of its zone. */
  isZoneDelegate(): boolean;
  /** VMs of the region's other zones, if this VM sends them the warm-target updates of its zone; otherwise none. */
  warmRecipients(): readonly Member[];
  /** Pairs known to be warm, the most recently used ones last. */
  warmPairs(): readonly HashedPair[];
  warmReceived(pairs: readonly HashedPair[]): void;
  limitsReceived(updates: readonly LimitUpdate[]): void;
  /** VMs of the zone that are up or leaving, including this one. */
  zoneVmStatuses(): readonly VmStatus[];
  /** Reports on requests that may crash targets, with at most `maxCrashes` crashes. */
  suspects(maxCrashes: number): readonly HeldBackReport[];
  /** Contents of this VM's heartbeat, except suspects. */
  localState(): LocalState;
  heartbeatReceived(heartbeat: Heartbeat): void;
  zoneReportReceived(report: ZoneReport): void;
}

/** See the module's comment. */
export class PeerBeacon extends Task<PeerBeaconMessage> {
  readonly #options: PeerBeaconOptions;
  #socket: Socket | undefined;
  readonly #zoneWarm = new WarmUpdates();
  readonly #regionWarm = new WarmUpdates();
  /** Heartbeats until the next zone report to VMs of other regions. */
  #heartbeatsToRemoteReport = 0;
  /** Publications that have been scheduled. */
  readonly #scheduled = new Set<Publication>();
  readonly #zoneLimits = new LimitUpdates();
  readonly #otherZoneLimits = new LimitUpdates();
  /** Times of the last warm-target updates to the zone and to the region's other zones. */
  #zonePublishedAt = -Infinity;
  #regionPublishedAt = -Infinity;

  constructor(options: PeerBeaconOptions) {
    super("peers");
    this.#options = options;
  }

  protected override async open(): Promise<void> {
    const socket = createSocket({ type: "udp4", lookup: useAddress });
    this.#socket = socket;
    this.#scheduled.clear();
    socket.on("message", (datagram) => this.#receiveDatagram(datagram));
    await bind(socket, this.#options.listen, (err) => this.fail(err));
    this.sendEvery(HEARTBEAT_MS, { kind: "heartbeat" });
  }

  protected override close(): void {
    this.#socket?.close();
    this.#socket = undefined;
  }

  protected override receive(message: PeerBeaconMessage): void {
    switch (message.kind) {
      case "beat":
        this.#beat(this.#options.reportRecipients());
        return;
      case "heartbeat":
        this.#beat(this.#dueReportRecipients());
        return;
      case "greet":
        this.#greet(message.member);
        return;
      case "suspects":
        this.#schedule("publish-suspects", SUSPECTS_DELAY_MS);
        return;
      case "publish-suspects":
        this.#scheduled.delete("publish-suspects");
        this.#beat(this.#options.reportRecipients());
        return;
      case "warmed":
        this.#zoneWarm.add(message.pair);
        this.#regionWarm.add(message.pair);
        this.#schedule("publish-warm-to-zone", ZONE_WARM_INTERVAL_MS);
        this.#schedule("publish-warm-to-region", REGION_WARM_INTERVAL_MS);
        return;
      case "publish-warm-to-zone":
        this.#scheduled.delete("publish-warm-to-zone");
        this.#publishWarmToZone(performance.now());
        return;
      case "publish-warm-to-region":
        this.#scheduled.delete("publish-warm-to-region");
        this.#publishWarmToRegion(performance.now());
        return;
      case "limit":
        this.#zoneLimits.add(message.update);
        this.#otherZoneLimits.add(message.update);
        this.#schedule("publish-limits", LIMIT_UPDATE_INTERVAL_MS);
        return;
      case "publish-limits":
        this.#scheduled.delete("publish-limits");
        this.#publishLimits(performance.now());
        return;
    }
  }

  #publishLimits(now: number): void {
    this.#sendLimits(
      "limits",
      this.#zoneLimits.take(now),
      this.#options.zonePeers(),
    );
    this.#sendLimits(
      "zone-limits",
      this.#otherZoneLimits.take(now),
      this.#options.reportRecipients(),
    );
    if (!this.#zoneLimits.isEmpty || !this.#otherZoneLimits.isEmpty) {
      this.#schedule("publish-limits", LIMIT_UPDATE_INTERVAL_MS);
    }
  }

  #sendLimits(
    method: LimitMethod,
    updates: readonly object[],
    members: readonly Member[],
  ): void {
    const addresses = addressesOf(members);
    for (const params of updates) {
      this.#send(encodeNotification(method, params), addresses);
    }
  }

  #receiveLimits(method: LimitMethod, params: unknown): void {
    const updates = decodeLimits(params, performance.now());
    if (updates === undefined) {
      return;
    }
    this.#options.limitsReceived(updates);
    if (method === "limits" && this.#options.isZoneDelegate()) {
      updates.forEach((update) => this.#otherZoneLimits.add(update));
      this.#schedule("publish-limits", LIMIT_UPDATE_INTERVAL_MS);
    }
  }

  /** Schedules a publication in `ms`, unless one of its kind is scheduled already. */
  #schedule(kind: Publication, ms: number): void {
    if (!this.#scheduled.has(kind)) {
      this.#scheduled.add(kind);
      this.sendAfter(ms, { kind });
    }
  }

  #publishWarmToZone(now: number): void {
    const recipients = this.#options.zonePeers();
    const waitMs = this.#zonePublishedAt +
      recipients.length * ZONE_WARM_INTERVAL_PER_VM_MS - now;
    if (waitMs > 0) {
      this.#schedule("publish-warm-to-zone", waitMs);
      return;
    }
    this.#zonePublishedAt = now;
    this.#sendWarm("warm", this.#zoneWarm.take(), recipients);
  }

  #publishWarmToRegion(now: number): void {
    const recipients = this.#options.warmRecipients();
    const intervalMs = recipients.length === 0
      ? DELEGATE_CHECK_MS
      : recipients.length * REGION_WARM_INTERVAL_PER_VM_MS;
    const waitMs = this.#regionPublishedAt + intervalMs - now;
    if (waitMs > 0) {
      this.#schedule("publish-warm-to-region", waitMs);
      return;
    }
    this.#regionPublishedAt = now;
    this.#sendWarm("zone-warm", this.#regionWarm.take(), recipients);
  }

  /**
   * Sends a VM that has just started a heartbeat and, if this VM is a delegate, the warm
   * pairs. If all VMs of the zone sent them, the new VM would spend its processor on many
   * copies of the same pairs while callers return to it.
   */
  #greet({ peerAddress }: Member): void {
    if (this.#options.isSilent()) {
      return;
    }
    this.#send(this.#heartbeat(), [peerAddress]);
    if (!this.#options.isZoneDelegate()) {
      return;
    }
    const newest = this.#options.warmPairs().slice(-MAX_GREETING_PAIRS);
    for (const pairs of encodePairs(newest)) {
      this.#send(encodeNotification("zone-warm", { pairs }), [peerAddress]);
    }
  }

  #sendWarm(
    method: WarmMethod,
    texts: readonly string[],
    members: readonly Member[],
  ): void {
    const addresses = addressesOf(members);
    for (const pairs of texts) {
      this.#send(encodeNotification(method, { pairs }), addresses);
    }
  }

  #receiveWarm(method: WarmMethod, text: string): void {
    const pairs = decodePairs(text);
    this.#options.warmReceived(pairs);
    if (method === "warm") {
      pairs.forEach((pair) => this.#regionWarm.add(pair));
      this.#schedule("publish-warm-to-region", REGION_WARM_INTERVAL_MS);
    }
  }

  /** VMs of other zones that get a zone report with the next scheduled heartbeat. */
  #dueReportRecipients(): readonly Member[] {
    const recipients = this.#options.reportRecipients();
    this.#heartbeatsToRemoteReport -= 1;
    if (this.#heartbeatsToRemoteReport <= 0) {
      this.#heartbeatsToRemoteReport = HEARTBEATS_PER_REMOTE_REPORT;
      return recipients;
    }
    const { region } = this.#options.localState().member;
    return recipients.filter((member) => member.region === region);
  }

  /** Sends a heartbeat to the zone, and zone reports to `recipients` of other zones. */
  #beat(recipients: readonly Member[]): void {
    if (this.#options.isSilent()) {
      return;
    }
    const zonePeers = addressesOf(this.#options.zonePeers());
    const otherZones = addressesOf(recipients);
    const state = this.#options.localState();
    const addresses = new Set([...zonePeers, ...this.#options.seeds()]);
    addresses.delete(state.member.peerAddress);
    this.#send(this.#heartbeat(state), [...addresses]);
    if (otherZones.length > 0) {
      this.#zoneReports(state).forEach((report) =>
        this.#send(report, otherZones)
      );
    }
  }

  #heartbeat(state = this.#options.localState()): Buffer {
    const params: Heartbeat = {
      ...state,
      ...this.#suspects(MAX_CRASHES_PER_HEARTBEAT),
    };
    return encodeNotification("heartbeat", params);
  }

  #suspects(
    maxCrashes: number,
  ): Pick<Heartbeat, "crashes" | "suspects"> {
    const suspects = this.#options.suspects(maxCrashes).map(encodeSuspect);
    return { crashes: [], ...(suspects.length === 0 ? {} : { suspects }) };
  }

  #zoneReports({ seen, era }: LocalState): readonly Buffer[] {
    const suspects = this.#suspects(MAX_CRASHES_PER_ZONE_REPORT);
    const statuses = this.#options.zoneVmStatuses();
    const reports: Buffer[] = [];
    for (let at = 0; at < statuses.length; at += MAX_VMS_PER_REPORT) {
      const vms = statuses.slice(at, at + MAX_VMS_PER_REPORT);
      const cutOff = vms.filter(({ isCutOff }) => isCutOff);
      const ages = Object.fromEntries(vms.map(({ vm, ageMs }) => [vm, ageMs]));
      const names = Object.keys(ages);
      const overloaded = vms.filter(({ isOverloaded }) => isOverloaded)
        .map(({ vm }) => names.indexOf(vm));
      reports.push(encodeNotification("zone", {
        seen,
        era,
        ...suspects,
        ages,
        leaving: vms.filter(({ isLeaving }) => isLeaving).map(({ vm }) => vm),
        ...(cutOff.length === 0 ? {} : { cutOff: cutOff.map(({ vm }) => vm) }),
        ...(overloaded.length === 0 ? {} : { overloaded }),
      }));
    }
    return reports;
  }

  #send(datagram: Buffer, addresses: readonly string[]): void {
    for (const address of addresses) {
      const [host, port] = address.split(":");
      // A datagram that cannot be sent is treated like a lost one.
      this.#socket?.send(datagram, Number(port), host, () => undefined);
    }
  }

  #receiveDatagram(datagram: Buffer): void {
    const { method, params } = decodeNotification(datagram) ?? {};
    if (method === "warm" || method === "zone-warm") {
      if (isWarmUpdate(params)) {
        this.#receiveWarm(method, params.pairs);
      }
      return;
    }
    if (method === "limits" || method === "zone-limits") {
      this.#receiveLimits(method, params);
      return;
    }
    if (!hasCommonFields(params)) {
      return;
    }
    if (method === "heartbeat" && isHeartbeat(params)) {
      this.#options.heartbeatReceived(params);
    } else if (method === "zone" && isZoneReport(params)) {
      this.#options.zoneReportReceived(params);
    }
  }
}

/** Takes the place of the resolver: peers are named by IP addresses. */
function useAddress(
  address: string,
  _options: unknown,
  callback: (err: null, address: string, family: number) => void,
): void {
  callback(null, address, 4);
}

function addressesOf(members: readonly Member[]): readonly string[] {
  return members.map(({ peerAddress }) => peerAddress);
}
