/**
 * Questions to other VMs that have an answer: who holds a claim, what is known.
 *
 * @module
 */

import type { HolderAnswer, HolderQuestion } from "@poplarthread/coordination";
import type { RegionId, VmId, ZoneId } from "@poplarthread/ids";
import type { FleetTask, FleetVm } from "./fleet.ts";
import type { Known, StoredPlan } from "./peers/messages.ts";
import type { PeerNetwork } from "./peers/peer_network.ts";

/** Peers that a VM without a configuration asks: one of them knows the newest, or hears of it soon. */
const PEERS_ASKED = 4;

/** Whom to ask, and how. */
export interface PeerQuestionsOptions {
  readonly self: {
    readonly vm: VmId;
    readonly region: RegionId;
    readonly zone: ZoneId;
  };
  readonly fleet: FleetTask;
  readonly peers: PeerNetwork;
  /** A peer told the plan that it follows. */
  readonly onPlan: (stored: StoredPlan) => void;
}

/** Asks peers; a peer that does not answer is an answer too, never an error. */
export class PeerQuestions {
  readonly #options: PeerQuestionsOptions;

  constructor(options: PeerQuestionsOptions) {
    this.#options = options;
  }

  /** Asks the instance that holds a claim. */
  async askHolder(
    question: HolderQuestion,
    waitMs: number,
  ): Promise<HolderAnswer> {
    const { fleet, peers } = this.#options;
    // An instance is named after its VM; a later life there says that it is dead.
    const vm = question.instance.split(".")[0] as VmId;
    const address = fleet.peerAddress(vm);
    return address === undefined
      ? { kind: "unreachable" }
      : await peers.askHolder({ vm, address }, { question, waitMs });
  }

  /** What a few peers know, near ones first: a start-up storm must not meet all of them. */
  async askNear(): Promise<readonly Known[]> {
    const { self } = this.#options;
    const near = ({ zone, region }: FleetVm) =>
      Number(zone === self.zone) + Number(region === self.region);
    const peers = this.#others()
      .filter(({ belief }) => belief !== "dead")
      .toSorted((a, b) => near(b) - near(a))
      .slice(0, PEERS_ASKED);
    const answers = await this.askKnown(peers.map(({ id }) => id));
    return answers.filter((answer) => answer !== undefined);
  }

  /** What every other VM knows that the platform lists. */
  async askListed(): Promise<readonly (Known | undefined)[]> {
    return await this.askKnown(this.#others().map(({ id }) => id));
  }

  /** What those VMs know; their plans are taken in at once. */
  async askKnown(
    vms: readonly VmId[],
  ): Promise<readonly (Known | undefined)[]> {
    const { fleet, peers, onPlan } = this.#options;
    const answers = await Promise.all(vms.map((vm) => {
      const address = fleet.peerAddress(vm);
      return address === undefined
        ? undefined
        : peers.askKnown({ vm, address });
    }));
    for (const answer of answers) {
      if (answer?.plan !== undefined) {
        onPlan(answer.plan);
      }
    }
    return answers;
  }

  #others(): readonly FleetVm[] {
    const { fleet, self } = this.#options;
    return fleet.view.vms.filter(({ id }) => id !== self.vm);
  }
}
