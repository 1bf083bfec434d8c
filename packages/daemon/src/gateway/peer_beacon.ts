/**
 * Heartbeats between VMs, and what they tell each other of warm targets and of limits
 * that targets name, as JSON-RPC 2.0 notifications in datagrams.
 *
 * VMs of one zone tell each other of themselves. Two VMs of each zone tell those of
 * other zones which VMs of theirs are up, those of other regions less often: bytes
 * between regions are dear, and what is known of VMs there decides little.
 *
 * Datagrams, because a connection that falls silent without a reset looks the
 * same as a peer with nothing to say, and because a lost heartbeat is followed
 * by the next one anyway.
 *
 * @module
 */

import { createSocket, type Socket } from "node:dgram";
import type { HashedPair } from "@poplarthread/placement";
import { Task } from "../task.ts";
import { CrashNews } from "./crash_news.ts";
import type { SuspectedCrash } from "./crash_suspects.ts";
import {
  decodeLimits,
  LIMIT_NEWS_MS,
  LimitNews,
  type LimitWord,
} from "./limit_news.ts";
import {
  encode,
  hasCommonWord,
  type Heartbeat,
  isHeartbeat,
  isWarmWord,
  isZoneReport,
  type ZoneReport,
} from "./peer_words.ts";
import type { Member } from "./ports.ts";
import type { ListenAddress } from "./settings.ts";
import type { VmSighting } from "./vm_directory.ts";
import { decodePairs, encodePairs, WarmNews } from "./warm_news.ts";

/** How often a VM gives word of itself, in milliseconds; a VM is taken out after three that are missing. */
const HEARTBEAT_MS = 1_000;
/** VMs of other regions are told at each so many heartbeats. */
const HEARTBEATS_BETWEEN_REGIONS = 2;
/** The same for one that names VMs besides. */
const MOST_CRASHES_REPORTED = 4;
/**
 * How often a VM tells what it has warmed, in milliseconds: within its zone, and to
 * the region's other zones. A request on a target that is cold for its object takes
 * 250 to 600 ms longer, so news that are older save little. Other zones get them less
 * often, by one VM of the zone, since their bytes are billed.
 */
const WARM_NEAR_MS = 250;
const WARM_FAR_MS = 500;
/**
 * With many VMs they are told less often: this long for each VM that is told, in
 * milliseconds. Each of them tells all others, so at an even pace the datagrams
 * grow with the square of the zone; with eleven VMs in each zone, the news took
 * more processor time than they saved. So a VM hears ten datagrams a second from
 * its zone, whatever its size, and one VM sends fifty a second to other zones.
 */
const WARM_NEAR_PER_VM_MS = 100;
const WARM_FAR_PER_VM_MS = 20;
/** A VM that does not speak to other zones looks this often whether it does now, in milliseconds, while it has something to tell. */
const SPEAKER_CHECK_MS = 3_000;
/** VMs that one report names; each takes some 35 bytes. */
const MOST_SIGHTINGS = 25;

/** Pairs that a VM that has just started is told by each VM that reports, those used last: 8 datagrams. */
const MOST_GREETED = 800;

/** Who tells of warm targets: those that hear it from a VM of their zone may pass it on. */
type WarmMethod = "warm" | "zone-warm";

/** Which others are told of warm targets: those of the zone, or of the region's other zones. */
type WarmTelling = "tell-near" | "tell-far";

/** Who tells of limits, as with {@link WarmMethod}. */
type LimitMethod = "limits" | "zone-limits";

/** What the task is told. */
export type PeerBeaconMessage =
  /** This VM has warmed a target: all VMs are told soon. */
  | { readonly kind: "warmed"; readonly pair: HashedPair }
  /** Tells the zone what is warm. */
  | { readonly kind: "tell-near" }
  /** Tells the region's other zones, if this VM speaks for its own. */
  | { readonly kind: "tell-far" }
  /** Sends a heartbeat to all peers now. */
  | { readonly kind: "beat" }
  /** Sends the next one of those that come at even times. */
  | { readonly kind: "heartbeat" }
  /** Sends one to a peer that was just heard for the first time. */
  | { readonly kind: "greet"; readonly member: Member }
  /** This VM saw a crash: all VMs are told. */
  | { readonly kind: "crash"; readonly crash: SuspectedCrash }
  /** A VM of the zone saw one: other zones are told, if this VM reports. */
  | { readonly kind: "pass-on"; readonly crash: SuspectedCrash }
  /** A target said something new of its limit: all VMs are told soon. */
  | { readonly kind: "limit"; readonly word: LimitWord }
  /** Tells what is new of limits. */
  | { readonly kind: "tell-limits" };

/** What the task works with. */
export interface PeerBeaconOptions {
  readonly listen: ListenAddress;
  /** Addresses to try besides the known peers, `host:port`; none once peers are known: all VMs are given the same few. */
  seeds(): readonly string[];
  /** Other VMs of the zone. */
  near(): readonly Member[];
  /** VMs of other zones to which this VM reports; none where others do. */
  far(): readonly Member[];
  /** Whether this VM is one of those of its zone that report. */
  reports(): boolean;
  /** VMs of the region's other zones, where this VM is the one that tells them of warm targets. */
  spokenTo(): readonly Member[];
  /** Pairs that are known to be warm, those used last at the end. */
  warmPairs(): readonly HashedPair[];
  heardWarm(pairs: readonly HashedPair[]): void;
  heardLimits(words: readonly LimitWord[]): void;
  /** VMs of the zone that are up, this one among them. */
  sightings(): readonly VmSighting[];
  ownWord(): Omit<Heartbeat, "crashes">;
  heard(heartbeat: Heartbeat): void;
  reported(report: ZoneReport): void;
}

/** See the module's comment. */
export class PeerBeacon extends Task<PeerBeaconMessage> {
  readonly #options: PeerBeaconOptions;
  #socket: Socket | undefined;
  /** What this VM saw. */
  #own = new CrashNews();
  /** What others of the zone saw. It goes to other zones only: told again within the zone, it would go round for ever. */
  #passedOn = new CrashNews();
  readonly #warmNear = new WarmNews();
  readonly #warmFar = new WarmNews();
  /** Heartbeats until VMs of other regions are told again. */
  #untilFar = 0;
  /** What is scheduled. */
  readonly #scheduled = new Set<WarmTelling | "tell-limits">();
  readonly #limitsNear = new LimitNews();
  readonly #limitsFar = new LimitNews();
  /** When the zone and the other zones were told last, in milliseconds. */
  #toldNearAt = -Infinity;
  #toldFarAt = -Infinity;

  constructor(options: PeerBeaconOptions) {
    super("peers");
    this.#options = options;
  }

  protected override open(): Promise<void> {
    const socket = createSocket("udp4");
    this.#socket = socket;
    this.#scheduled.clear();
    socket.on("message", (bytes) => this.#take(bytes));
    const { host, port } = this.#options.listen;
    return new Promise((resolve, reject) => {
      socket.once("error", reject);
      socket.bind(port, host, () => {
        socket.off("error", reject);
        socket.on("error", (err) => this.fail(err));
        this.every(HEARTBEAT_MS, { kind: "heartbeat" });
        resolve();
      });
    });
  }

  protected override close(): void {
    this.#socket?.close();
    this.#socket = undefined;
  }

  protected override receive(message: PeerBeaconMessage): void {
    switch (message.kind) {
      case "beat":
        this.#beat(this.#options.far());
        return;
      case "heartbeat":
        this.#beat(this.#dueFar());
        return;
      case "greet":
        this.#greet(message.member);
        return;
      case "crash":
        this.#own.add(message.crash);
        this.#beat(this.#options.far());
        return;
      case "pass-on":
        this.#passedOn.add(message.crash);
        return;
      case "warmed":
        this.#warmNear.add(message.pair);
        this.#warmFar.add(message.pair);
        this.#schedule("tell-near", WARM_NEAR_MS);
        this.#schedule("tell-far", WARM_FAR_MS);
        return;
      case "tell-near":
        this.#scheduled.delete("tell-near");
        this.#tellNear(performance.now());
        return;
      case "tell-far":
        this.#scheduled.delete("tell-far");
        this.#tellFar(performance.now());
        return;
      case "limit":
        this.#limitsNear.add(message.word);
        this.#limitsFar.add(message.word);
        this.#schedule("tell-limits", LIMIT_NEWS_MS);
        return;
      case "tell-limits":
        this.#scheduled.delete("tell-limits");
        this.#tellLimits(performance.now());
        return;
    }
  }

  #tellLimits(now: number): void {
    this.#sendLimits(
      "limits",
      this.#limitsNear.take(now),
      this.#options.near(),
    );
    this.#sendLimits(
      "zone-limits",
      this.#limitsFar.take(now),
      this.#options.far(),
    );
    if (!this.#limitsNear.isEmpty || !this.#limitsFar.isEmpty) {
      this.#schedule("tell-limits", LIMIT_NEWS_MS);
    }
  }

  #sendLimits(
    method: LimitMethod,
    words: readonly object[],
    members: readonly Member[],
  ): void {
    const addresses = addressesOf(members);
    for (const params of words) {
      this.#send(encode(method, params), addresses);
    }
  }

  #heardLimits(method: LimitMethod, params: unknown): void {
    const words = decodeLimits(params, performance.now());
    if (words === undefined) {
      return;
    }
    this.#options.heardLimits(words);
    if (method === "limits" && this.#options.reports()) {
      words.forEach((word) => this.#limitsFar.add(word));
      this.#schedule("tell-limits", LIMIT_NEWS_MS);
    }
  }

  /** Tells in `ms`, or earlier where that is due already. */
  #schedule(kind: WarmTelling | "tell-limits", ms: number): void {
    if (!this.#scheduled.has(kind)) {
      this.#scheduled.add(kind);
      this.after(ms, { kind });
    }
  }

  #tellNear(now: number): void {
    const near = this.#options.near();
    const waitMs = this.#toldNearAt + near.length * WARM_NEAR_PER_VM_MS - now;
    if (waitMs > 0) {
      this.#schedule("tell-near", waitMs);
      return;
    }
    this.#toldNearAt = now;
    this.#tellWarm("warm", this.#warmNear.take(), near);
  }

  #tellFar(now: number): void {
    const far = this.#options.spokenTo();
    const everyMs = far.length === 0
      ? SPEAKER_CHECK_MS
      : far.length * WARM_FAR_PER_VM_MS;
    const waitMs = this.#toldFarAt + everyMs - now;
    if (waitMs > 0) {
      this.#schedule("tell-far", waitMs);
      return;
    }
    this.#toldFarAt = now;
    this.#tellWarm("zone-warm", this.#warmFar.take(), far);
  }

  /**
   * A VM that has just started knows nothing: it hears of this one, and of warm
   * targets from those that report. Told by all of them, it was busy with the same
   * pairs many times over while callers came back to it.
   */
  #greet({ peerAddress }: Member): void {
    this.#send(this.#heartbeat(), [peerAddress]);
    if (!this.#options.reports()) {
      return;
    }
    const newest = this.#options.warmPairs().slice(-MOST_GREETED);
    for (const pairs of encodePairs(newest)) {
      this.#send(encode("zone-warm", { pairs }), [peerAddress]);
    }
  }

  #tellWarm(
    method: WarmMethod,
    texts: readonly string[],
    members: readonly Member[],
  ): void {
    const addresses = addressesOf(members);
    for (const pairs of texts) {
      this.#send(encode(method, { pairs }), addresses);
    }
  }

  #heardWarm(method: WarmMethod, text: string): void {
    const pairs = decodePairs(text);
    this.#options.heardWarm(pairs);
    if (method === "warm") {
      pairs.forEach((pair) => this.#warmFar.add(pair));
      this.#schedule("tell-far", WARM_FAR_MS);
    }
  }

  /** VMs of other zones that the next regular heartbeat goes to. */
  #dueFar(): readonly Member[] {
    const far = this.#options.far();
    this.#untilFar -= 1;
    if (this.#untilFar <= 0) {
      this.#untilFar = HEARTBEATS_BETWEEN_REGIONS;
      return far;
    }
    const { region } = this.#options.ownWord().member;
    return far.filter((member) => member.region === region);
  }

  /** Tells the zone, and the VMs `reportedTo` of other zones. */
  #beat(reportedTo: readonly Member[]): void {
    const near = addressesOf(this.#options.near());
    const far = addressesOf(reportedTo);
    const word = this.#options.ownWord();
    const addresses = new Set([...near, ...this.#options.seeds()]);
    addresses.delete(word.member.peerAddress);
    this.#send(this.#heartbeat(word), [...addresses]);
    if (far.length > 0) {
      this.#reports(word).forEach((report) => this.#send(report, far));
    }
  }

  #heartbeat(word = this.#options.ownWord()): Buffer {
    const params: Heartbeat = { ...word, crashes: this.#own.current() };
    return encode("heartbeat", params);
  }

  #reports({ seen }: Omit<Heartbeat, "crashes">): readonly Buffer[] {
    const crashes = [...this.#own.current(), ...this.#passedOn.current()]
      .slice(-MOST_CRASHES_REPORTED);
    const sightings = this.#options.sightings();
    const reports: Buffer[] = [];
    for (let at = 0; at < sightings.length; at += MOST_SIGHTINGS) {
      const vms = sightings.slice(at, at + MOST_SIGHTINGS);
      reports.push(encode("zone", {
        seen,
        crashes,
        ages: Object.fromEntries(vms.map(({ vm, ageMs }) => [vm, ageMs])),
        leaving: vms.filter(({ isLeaving }) => isLeaving).map(({ vm }) => vm),
      }));
    }
    return reports;
  }

  #send(bytes: Buffer, addresses: readonly string[]): void {
    for (const address of addresses) {
      const [host, port] = address.split(":");
      // A datagram that cannot be sent is as good as a lost one.
      this.#socket?.send(bytes, Number(port), host, () => undefined);
    }
  }

  #take(bytes: Buffer): void {
    let message: { method?: unknown; params?: unknown };
    try {
      message = JSON.parse(bytes.toString("utf8"));
    } catch {
      return;
    }
    const { method, params } = message;
    if (method === "warm" || method === "zone-warm") {
      if (isWarmWord(params)) {
        this.#heardWarm(method, params.pairs);
      }
      return;
    }
    if (method === "limits" || method === "zone-limits") {
      this.#heardLimits(method, params);
      return;
    }
    if (!hasCommonWord(params)) {
      return;
    }
    if (method === "heartbeat" && isHeartbeat(params)) {
      this.#options.heard(params);
    } else if (method === "zone" && isZoneReport(params)) {
      this.#options.reported(params);
    }
  }
}

function addressesOf(members: readonly Member[]): readonly string[] {
  return members.map(({ peerAddress }) => peerAddress);
}
