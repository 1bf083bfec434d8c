/**
 * Branded ids: plain strings at run time, but distinct types for the compiler, so
 * that a zone can't be passed where a region is expected.
 *
 * @module
 */

declare const brand: unique symbol;

/** A string that can't be assigned from a plain string or from another brand. */
export type Brand<Name extends string> = string & { readonly [brand]: Name };

/** A VM of the system, as named in its settings and in the platform's VM list. */
export type VmId = Brand<"VmId">;
/** One run of the daemon on a VM. A restart creates a new instance. */
export type InstanceId = Brand<"InstanceId">;
/** A region, for example `zilina`. */
export type RegionId = Brand<"RegionId">;
/** An availability zone, for example `zilina-1`. */
export type ZoneId = Brand<"ZoneId">;
/** A service that targets offer, for example `portal`. */
export type ServiceId = Brand<"ServiceId">;
/** One target: an upstream address of a service. */
export type TargetId = Brand<"TargetId">;
/** A caller, as far as the system can tell callers apart. */
export type CallerId = Brand<"CallerId">;
/** A client account, as operators name it in the configuration. */
export type AccountId = Brand<"AccountId">;
/** Digest of a key of a client account; the key itself is kept nowhere. */
export type KeyDigest = Brand<"KeyDigest">;
/** A named preset. */
export type PresetId = Brand<"PresetId">;
/** One request of a caller, unique over all VMs. */
export type RequestId = Brand<"RequestId">;
/** An idempotency key as sent by a caller. */
export type IdempotencyKey = Brand<"IdempotencyKey">;
/** One operation of an operator; a retry carries the same id. */
export type OperationId = Brand<"OperationId">;

/** Brands `value` as an id of the expected type without checking it. */
export function id<Id extends string>(value: string): Id {
  return value as Id;
}
