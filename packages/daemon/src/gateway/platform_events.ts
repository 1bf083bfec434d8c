/**
 * Applies the platform's changes to the parts of the gateway.
 *
 * @module
 */

import { isDeepStrictEqual } from "node:util";
import type { Accounts } from "./accounts/accounts.ts";
import type { CallerListener } from "./caller_listener.ts";
import type { RoutingConfiguration } from "./configuration.ts";
import type { EventLog } from "./events.ts";
import type { Peers } from "./peers.ts";
import type { FeedEvent } from "./platform_feed.ts";
import type { RequestPath } from "./request_path.ts";
import type { StoreVersion } from "./row_copy.ts";

/** The parts that follow the platform. */
export interface PlatformEventsOptions {
  readonly path: RequestPath;
  readonly callerListener: CallerListener;
  readonly accounts: Accounts;
  readonly peers: Peers;
  readonly log: EventLog;
  /** The history and newest version of the operator's rows that were read. */
  operatorRowsSeen(): StoreVersion;
  /** How many times the operator's rows were replaced by those of a restored store. */
  operatorRowsRestores(): number;
  /** Called with the number of entries of a configuration that are not used. */
  entriesUnused(count: number): void;
}

/** Findings of one version of the configuration that are logged. */
const MAX_LOGGED_FINDINGS = 10;

/** See the module comment. */
export class PlatformEvents {
  readonly #options: PlatformEventsOptions;
  #hasTargets = false;
  #inForce: RoutingConfiguration | undefined;
  /** How many restores there had been when the configuration in force was read last. */
  #inForceRestores = 0;
  /** A configuration that is to be applied again, and how many restores there had been when it was read. */
  #deferred:
    | {
      readonly configuration: RoutingConfiguration;
      readonly restores: number;
    }
    | undefined;

  constructor(options: PlatformEventsOptions) {
    this.#options = options;
  }

  /** Whether a list of targets has been read. */
  get hasTargets(): boolean {
    return this.#hasTargets;
  }

  /** Applies one change. */
  handle(event: FeedEvent): void {
    const { path, accounts, peers, log } = this.#options;
    const now = performance.now();
    switch (event.kind) {
      case "configuration":
        this.#applyConfiguration(event.configuration);
        this.#logFindings(event.findings);
        return;
      case "unusable-configuration":
        accounts.configurationRejected();
        log.write("configuration not used", { reason: event.reason });
        return;
      case "evacuations":
        path.setEvacuatedZones(event.zones, now);
        return;
      case "targets":
        this.#hasTargets = true;
        path.updateTargets(event.targets, now);
        return;
      case "members":
        peers.addRegistered(event.members, now);
        return;
      case "crashes":
        event.reports.forEach((report) => path.suspects.merge(report, now));
        return;
      case "contact":
        if (event.subject === "targets") {
          path.targets.connectivityChanged(event.isLost, now);
        }
        this.#logConnectivity(event);
        return;
    }
  }

  #logConnectivity(
    { subject, isLost, reason }: Extract<FeedEvent, { kind: "contact" }>,
  ): void {
    const { log } = this.#options;
    if (isLost) {
      const fields = reason === undefined ? {} : { reason };
      log.write("contact lost", { subject, ...fields });
    } else {
      log.write("contact regained", { subject });
    }
  }

  #logFindings(findings: readonly string[]): void {
    const { log, entriesUnused } = this.#options;
    entriesUnused(findings.length);
    for (const reason of findings.slice(0, MAX_LOGGED_FINDINGS)) {
      log.write("configuration entry not used", { reason });
    }
  }

  #applyConfiguration(configuration: RoutingConfiguration): void {
    const { path, callerListener, accounts, log } = this.#options;
    const { era, version: storeVersion } = this.#options.operatorRowsSeen();
    const restores = this.#deferred?.configuration === configuration
      ? this.#deferred.restores
      : this.#options.operatorRowsRestores();
    const previous = callerListener.version;
    const isNotHigher = configuration.version <= previous;
    if (isNotHigher && restores === this.#inForceRestores) {
      log.write("configuration passed over", {
        revision: previous,
        offered: configuration.version,
        era,
        storeVersion,
      });
      return;
    }
    if (isDeepStrictEqual(configuration, this.#inForce)) {
      // Written again as it was.
      this.#inForceRestores = restores;
      return;
    }
    if (!callerListener.running) {
      // It drops messages while it restarts.
      this.#deferred = { configuration, restores };
      throw new Error("The listener for callers is not running");
    }
    this.#inForceRestores = restores;
    this.#deferred = undefined;
    if (isNotHigher) {
      // What the restored store lost doesn't bind its operator. Rows of the copy that
      // are outdated don't get here.
      log.write("configuration goes on from a copy", {
        revision: configuration.version,
        previous,
        era,
        storeVersion,
      });
    }
    this.#inForce = configuration;
    callerListener.send({ kind: "configuration", configuration });
    accounts.configurationApplied();
    path.targets.setServices(configuration.services);
    path.setRoutes(configuration.routes);
    log.write("configuration in force", {
      revision: configuration.version,
      era,
      storeVersion,
    });
  }
}
