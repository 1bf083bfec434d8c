/**
 * The {@link HomeAgent} of a VM: one {@link ServiceHomes} for each service whose
 * objects get homes by load.
 *
 * @module
 */

import type { ServiceId, VmId } from "@poplarthread/ids";
import type { TargetOwner } from "../target_owners.ts";
import type {
  HomeAgent,
  HomeAgentOptions,
  HomeCounts,
  HomeTarget,
  OutgoingHomeMessage,
  OwnedHomes,
} from "./home_agent.ts";
import type { HomeRequest, HomesLookup, HomeSource } from "./home_source.ts";
import type { HomeMessage, RoomShare } from "./messages.ts";
import { ServiceHomes } from "./service_homes.ts";

const UNASSIGNED: HomesLookup = { kind: "unassigned" };
const NO_TARGETS: readonly HomeTarget[] = [];

/** See the module comment. Times are milliseconds of the monotonic clock. */
export class HomeCoordinator implements HomeAgent {
  readonly source: HomeSource;
  readonly #options: HomeAgentOptions;
  readonly #services = new Map<ServiceId, ServiceHomes>();
  #vms: readonly TargetOwner[] | undefined;

  constructor(options: HomeAgentOptions) {
    this.#options = options;
    this.source = this.#createSource();
  }

  /** Counters for metrics, since the start. */
  get counts(): HomeCounts {
    const counts = {
      assigned: 0,
      added: 0,
      moved: 0,
      dropped: 0,
      unanswered: 0,
    };
    for (const homes of this.#services.values()) {
      const ofService = homes.counts;
      counts.assigned += ofService.assigned;
      counts.added += ofService.added;
      counts.moved += ofService.moved;
      counts.dropped += ofService.dropped;
      counts.unanswered += homes.directory.unanswered;
    }
    return counts;
  }

  owned(): readonly OwnedHomes[] {
    return [...this.#services.values()].flatMap(({ owned }) => owned ?? []);
  }

  homes(): ReadonlySet<number> {
    const homes = new Set<number>();
    for (const { directory } of this.#services.values()) {
      directory.addHomesTo(homes);
    }
    return homes;
  }

  setVms(vms: readonly TargetOwner[], now: number): void {
    this.#vms = vms;
    this.#services.forEach((homes) => homes.setVms(vms, now));
  }

  setTargets(
    services: ReadonlyMap<ServiceId, readonly HomeTarget[]>,
    now: number,
  ): void {
    for (const [service, homes] of this.#services) {
      if (!services.has(service)) {
        homes.setTargets(NO_TARGETS, now);
      }
    }
    for (const [service, targets] of services) {
      this.#start(service, now).setTargets(targets, now);
    }
  }

  receive(message: HomeMessage, from: VmId, now: number): void {
    this.#services.get(message.service)?.receive(message, from, now);
  }

  tick(now: number): void {
    this.#services.forEach((homes) => homes.tick(now));
  }

  takeOutgoing(_now: number): readonly OutgoingHomeMessage[] {
    return [...this.#services.values()].flatMap((homes) =>
      homes.takeOutgoing()
    );
  }

  roomOf(service: ServiceId, now: number): readonly RoomShare[] {
    return this.#services.get(service)?.directory.room(now) ?? [];
  }

  #start(service: ServiceId, now: number): ServiceHomes {
    const known = this.#services.get(service);
    if (known !== undefined) {
      return known;
    }
    const homes = new ServiceHomes(service, this.#options);
    this.#services.set(service, homes);
    if (this.#vms !== undefined) {
      homes.setVms(this.#vms, now);
    }
    return homes;
  }

  #createSource(): HomeSource {
    const directoryOf = (service: ServiceId) => {
      const directory = this.#services.get(service)?.directory;
      return directory?.isActive ? directory : undefined;
    };
    return {
      has: (service) => directoryOf(service) !== undefined,
      lookUp: (request: HomeRequest, now) =>
        directoryOf(request.service)?.lookUp(request, now) ?? UNASSIGNED,
      requestAnother: (request, now) =>
        directoryOf(request.service)?.requestAnother(request, now),
      recordDemand: (request, priority) =>
        directoryOf(request.service)?.demand.recordDemand(request, priority),
      recordResponse: (service, response) =>
        this.#services.get(service)?.recordResponse(response),
      recordRefusal: (service, priority) =>
        directoryOf(service)?.demand.recordRefusal(priority),
    };
  }
}
