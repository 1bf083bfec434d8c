/**
 * Settings of a gateway, given at its start.
 *
 * @module
 */

import type { InstanceId, RegionId, VmId, ZoneId } from "@poplarthread/ids";
import type { QuotaBound, RetryBound } from "@poplarthread/placement";
import type { Member } from "./ports.ts";

/** Address that a listener binds to. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Bounds that the deployment sets. */
export interface GatewayBounds {
  readonly retries: RetryBound;
  /** Time from SIGTERM to SIGKILL. */
  readonly stopMs: number;
  /** Longest lifetime (TTL) of a look-up's reply. */
  readonly lookupMs: number;
  /** Time after which a revoked key must no longer be accepted; undefined if no bound is required. */
  readonly revocationMs: number | undefined;
  /** How far accounts may exceed their quotas. */
  readonly quotas: QuotaBound;
}

/** Bounds of what the clients of one VM may have open. */
export interface ClientBounds {
  /** Connections of callers. */
  readonly callerConnections: number;
  /** Connections to each listener for look-ups and readiness checks. */
  readonly lookupConnections: number;
  /** Requests of one connection that have no complete response. */
  readonly requestsPerConnection: number;
}

/** The settings of one gateway, decoded and checked. */
export interface GatewaySettings {
  readonly vm: VmId;
  /** Identifies this run of the VM. */
  readonly instance: InstanceId;
  readonly zone: ZoneId;
  readonly region: RegionId;
  /** Number of processor cores. */
  readonly cores: number;
  /** Memory that the process may use. */
  readonly memoryBytes: number;
  readonly clients: ClientBounds;
  /** All zones with their regions. */
  readonly zones: ReadonlyMap<ZoneId, RegionId>;
  readonly listen: {
    readonly callers: ListenAddress;
    readonly readiness: ListenAddress;
    readonly lookups: ListenAddress;
    readonly peers: ListenAddress;
    /** For requests for account credit from other VMs; the port is the same on all VMs. */
    readonly credit: ListenAddress;
    /** For messages of other VMs about homes of objects; the port is the same on all VMs. */
    readonly homes: ListenAddress;
    /** For requests that other VMs forward; the port is the same on all VMs. */
    readonly forwarding: ListenAddress;
    readonly metrics: ListenAddress;
  };
  /** Addresses of a few possible peers, `host:port`, used until peers are known; some may be gone. */
  readonly seeds: readonly string[];
  readonly bounds: GatewayBounds;
}

/** The VM with the given settings, as it registers itself. */
export function memberOf(settings: GatewaySettings): Member {
  const { vm, instance, zone, region, cores, listen } = settings;
  return {
    vm,
    instance,
    zone,
    region,
    callerAddress: `${listen.callers.host}:${listen.callers.port}`,
    peerAddress: `${listen.peers.host}:${listen.peers.port}`,
    cores,
  };
}
