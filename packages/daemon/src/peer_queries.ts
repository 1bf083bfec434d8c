/**
 * Requests to other VMs: the state of a claim, and the configuration and plan that
 * they know.
 *
 * @module
 */

import type { HolderQuery, HolderResponse } from "@poplarthread/coordination";
import type { RegionId, VmId, ZoneId } from "@poplarthread/ids";
import type { FleetTask, FleetVm } from "./fleet.ts";
import type { KnownState, StoredPlan } from "./peers/messages.ts";
import type { PeerNetwork } from "./peers/peer_network.ts";

/** Peers that a VM without a configuration queries; one of them has the newest, or receives it soon. */
const MAX_PEERS_QUERIED = 4;

/** Options of {@link PeerQueries}. */
export interface PeerQueriesOptions {
  readonly self: {
    readonly vm: VmId;
    readonly region: RegionId;
    readonly zone: ZoneId;
  };
  readonly fleet: FleetTask;
  readonly peers: PeerNetwork;
  /** Called with the plan that a peer follows. */
  readonly onPlan: (stored: StoredPlan) => void;
}

/** Queries peers; a peer that does not respond is reported as a result, never as an error. */
export class PeerQueries {
  readonly #options: PeerQueriesOptions;

  constructor(options: PeerQueriesOptions) {
    this.#options = options;
  }

  /** Queries the instance that holds a claim. */
  async queryHolder(
    question: HolderQuery,
    waitMs: number,
  ): Promise<HolderResponse> {
    const { fleet, peers } = this.#options;
    // An instance's name begins with its VM; a later instance there responds that the
    // earlier one has ended.
    const vm = question.instance.split(".")[0] as VmId;
    const address = fleet.peerAddress(vm);
    return address === undefined
      ? { kind: "unreachable" }
      : await peers.queryHolder({ vm, address }, { question, waitMs });
  }

  /** Queries a few peers, nearest first, so that VMs that start together do not overload all peers. */
  async queryNearest(): Promise<readonly KnownState[]> {
    const { self } = this.#options;
    const proximity = ({ zone, region }: FleetVm) =>
      Number(zone === self.zone) + Number(region === self.region);
    const peers = this.#others()
      .filter(({ effectiveState }) => effectiveState !== "dead")
      .toSorted((a, b) => proximity(b) - proximity(a))
      .slice(0, MAX_PEERS_QUERIED);
    const responses = await this.queryKnown(peers.map(({ id }) => id));
    return responses.filter((response) => response !== undefined);
  }

  /** Queries every other VM that the platform lists. */
  async queryListed(): Promise<readonly (KnownState | undefined)[]> {
    return await this.queryKnown(this.#others().map(({ id }) => id));
  }

  /** Queries the given VMs and passes the plans of their responses to `onPlan`. */
  async queryKnown(
    vms: readonly VmId[],
  ): Promise<readonly (KnownState | undefined)[]> {
    const { fleet, peers, onPlan } = this.#options;
    const responses = await Promise.all(vms.map((vm) => {
      const address = fleet.peerAddress(vm);
      return address === undefined
        ? undefined
        : peers.queryKnownState({ vm, address });
    }));
    for (const response of responses) {
      if (response?.plan !== undefined) {
        onPlan(response.plan);
      }
    }
    return responses;
  }

  #others(): readonly FleetVm[] {
    const { fleet, self } = this.#options;
    return fleet.view.vms.filter(({ id }) => id !== self.vm);
  }
}
