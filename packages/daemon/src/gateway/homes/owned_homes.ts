/**
 * What an agent has assigned as an owner, as logs and metrics show it.
 *
 * @module
 */

import type { ServiceId } from "@poplarthread/ids";
import type { HomeAgent, OwnerTerm } from "@poplarthread/placement";

/** The homes of a service that a VM owns. */
export interface OwnedHomes {
  readonly service: ServiceId;
  readonly term: OwnerTerm;
  /** Objects that have homes. */
  readonly objects: number;
  readonly homes: number;
  /** Load of the busiest target, as a multiple of the mean. */
  readonly peakLoad: number;
  /** Homes moved so far in this term. */
  readonly moved: number;
}

/** An agent that tells what it has assigned. */
export interface ObservedHomeAgent extends HomeAgent {
  /** The services whose homes this VM owns. */
  owned?(now: number): readonly OwnedHomes[];
}
