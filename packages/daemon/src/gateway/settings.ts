/**
 * What a gateway is told at its start.
 *
 * @module
 */

import type { InstanceId, RegionId, VmId, ZoneId } from "@poplarthread/ids";
import type { QuotaBound, RetryBound } from "@poplarthread/placement";

/** Where a listener binds. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Bounds that the deployment sets; milliseconds. */
export interface GatewayBounds {
  readonly retries: RetryBound;
  /** From SIGTERM to SIGKILL. */
  readonly stopMs: number;
  /** Longest lifetime of a look-up's answer. */
  readonly lookupMs: number;
  /** Time after which a key that was taken away must serve nobody; undefined where it need not be known so exactly. */
  readonly revocationMs: number | undefined;
  /** How far accounts may go beyond their quotas. */
  readonly quotas: QuotaBound;
}

/** The settings of one gateway, decoded and checked. */
export interface GatewaySettings {
  readonly vm: VmId;
  /** This start of the VM. */
  readonly instance: InstanceId;
  readonly zone: ZoneId;
  readonly region: RegionId;
  /** Processor that the VM has, in cores. */
  readonly cores: number;
  readonly zones: ReadonlyMap<ZoneId, RegionId>;
  readonly listen: {
    readonly callers: ListenAddress;
    readonly readiness: ListenAddress;
    readonly lookups: ListenAddress;
    readonly peers: ListenAddress;
    /** For questions about the credit of accounts; its port is the same on all VMs. */
    readonly credit: ListenAddress;
    readonly metrics: ListenAddress;
  };
  /** Addresses at which peers may be, `host:port`; at most a few, perhaps gone. */
  readonly seeds: readonly string[];
  readonly bounds: GatewayBounds;
}
