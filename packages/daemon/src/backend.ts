/**
 * Serves operators' requests from the tasks of this VM.
 *
 * @module
 */

import type {
  Configuration,
  PresetVersion,
  Settings,
} from "@poplarthread/config";
import type { InstanceId, PresetId, ZoneId } from "@poplarthread/ids";
import type {
  AuditEntry,
  AuditRange,
  ChangeResponse,
  ExplainRequest,
  Explanation,
  LookupResponse,
  PlanStatus,
  PresetSummary,
  Status,
  TargetStatus,
  VmStatus,
} from "@poplarthread/operator-api";
import type { ConfigurationAdmin } from "./configuration_admin.ts";
import type { ConfigurationTask } from "./configuration_task.ts";
import type { CrashWatch } from "./crash_watch.ts";
import { explain } from "./explanation.ts";
import type { FleetTask, FleetView } from "./fleet.ts";
import type { RoutingView } from "./http/caller_listener.ts";
import type { Lookups } from "./lookups.ts";
import type { OperatorBackend, OperatorChange } from "./operator_backend.ts";
import type { Outages } from "./outages.ts";
import type { PlanTask } from "./plan_task.ts";
import type { Revisions } from "./revisions.ts";
import type { SteeringTask } from "./steering_task.ts";
import type { Supervisor } from "./supervisor.ts";

/** Parts of the daemon that the backend uses. */
export interface BackendParts {
  readonly settings: Settings;
  readonly instance: InstanceId;
  readonly admin: ConfigurationAdmin;
  readonly configuration: ConfigurationTask;
  readonly fleet: FleetTask;
  readonly steering: SteeringTask;
  readonly plan: PlanTask;
  readonly crashes: CrashWatch;
  readonly outages: Outages;
  readonly lookups: Lookups;
  readonly revisions: Revisions;
  readonly supervisor: () => Supervisor;
  readonly routing: () => RoutingView | undefined;
  readonly isReady: () => boolean;
  readonly isLeaving: () => boolean;
}

/** Implements {@link OperatorBackend} for this VM. */
export class Backend implements OperatorBackend {
  readonly #parts: BackendParts;

  constructor(parts: BackendParts) {
    this.#parts = parts;
  }

  status(): Status {
    const { settings, instance, outages, crashes } = this.#parts;
    const now = performance.now();
    const inForce = this.configuration();
    return {
      vm: settings.vm,
      instance,
      region: settings.region,
      zone: settings.zone,
      ready: this.#parts.isReady(),
      leaving: this.#parts.isLeaving(),
      revision: inForce?.revision ?? 0,
      ...(inForce === undefined ? {} : {
        preset: { id: inForce.preset.id, version: inForce.presetVersion },
      }),
      vms: this.#vms(now),
      plan: this.#plan(),
      targets: this.#targets(now),
      outages: outages.statuses(now),
      heldBack: crashes.statuses(now),
      tasks: this.#parts.supervisor().statuses(),
    };
  }

  configuration(): Configuration | undefined {
    return this.#parts.configuration.inForce;
  }

  async accept(change: OperatorChange): Promise<ChangeResponse> {
    const response = await this.#parts.admin.accept(change);
    if (response.kind === "accepted") {
      this.#parts.configuration.send({ kind: "accepted" });
    }
    return response;
  }

  audit(range: AuditRange): Promise<readonly AuditEntry[]> {
    return this.#parts.admin.audit(range);
  }

  presets(): Promise<readonly PresetSummary[]> {
    return this.#parts.admin.presets();
  }

  preset(id: PresetId, version?: number): Promise<PresetVersion | undefined> {
    return this.#parts.admin.preset(id, version);
  }

  presetHistory(id: PresetId): Promise<readonly AuditEntry[]> {
    return this.#parts.admin.presetHistory(id);
  }

  lookup(clientZone?: ZoneId): LookupResponse {
    return this.#parts.lookups.response(clientZone);
  }

  explain(request: ExplainRequest): Explanation {
    const { routing, steering, fleet } = this.#parts;
    return explain(request, {
      routes: routing()?.routes,
      steering: steering.steering,
      targets: fleet.view.targets,
      self: this.#parts.settings,
    });
  }

  #vms(now: number): readonly VmStatus[] {
    const { fleet, revisions, settings } = this.#parts;
    const localRevision = this.configuration()?.revision;
    return fleet.view.vms.map((vm) => {
      const isSelf = vm.id === settings.vm;
      const confirmed = revisions.of(vm.id);
      const revision = isSelf ? localRevision : confirmed?.revision;
      const confirmedAt = isSelf ? now : confirmed?.at ?? fleet.listedAt;
      return {
        vm: vm.id,
        region: vm.region,
        zone: vm.zone,
        state: vm.effectiveState,
        ...(revision === undefined ? {} : { revision }),
        ageMs: Math.round(now - confirmedAt),
      };
    });
  }

  #plan(): PlanStatus {
    const { plan: task, settings } = this.#parts;
    const { plan, planner, planning } = task;
    const slots = new Map<string, PlanStatus["allotments"][number]>();
    for (const one of plan?.allotments ?? []) {
      if (one.vm !== settings.vm) {
        continue;
      }
      const key = `${one.service} ${one.region}`;
      const { service, region } = one;
      const sum = (slots.get(key)?.slots ?? 0) + one.slots;
      slots.set(key, { service, region, slots: sum });
    }
    return {
      number: plan?.sequence ?? 0,
      ...(planner === undefined ? {} : { planner }),
      planning,
      allotments: [...slots.values()],
    };
  }

  #targets(now: number): readonly TargetStatus[] {
    const { steering, fleet } = this.#parts;
    const views = new Map(
      (steering.steering?.targets(now) ?? []).map((one) => [one.target, one]),
    );
    return fleet.view.targets.map((target) =>
      toTargetStatus(target, views.get(target.id))
    );
  }
}

type SteeringView = ReturnType<
  NonNullable<SteeringTask["steering"]>["targets"]
>[number];

function toTargetStatus(
  target: FleetView["targets"][number],
  view: SteeringView | undefined,
): TargetStatus {
  const { id, service, region, zone, address } = target;
  const location = { target: id, service, region, zone, address };
  if (view === undefined) {
    return {
      ...location,
      state: "out",
      why: "its service is not in the preset in force",
      inFlight: 0,
      slots: 0,
    };
  }
  const slots = view.owned + view.borrowed - view.lent;
  const { state, why } = stateOf(view, target.leaving);
  return { ...location, state, why, inFlight: view.inUse, slots };
}

function stateOf(
  view: SteeringView,
  leaving: boolean,
): Pick<TargetStatus, "state" | "why"> {
  if (leaving || view.standing === "leaving") {
    return { state: "out", why: "it is leaving" };
  }
  if (view.standing === "drained") {
    return { state: "out", why: "it is drained by an operator" };
  }
  const ratio = `response time ${view.ratio.toFixed(1)} times the usual`;
  if (view.standing === "failing") {
    return {
      state: "out",
      why: "it is failing according to attempts and reports",
    };
  }
  return { state: "in", why: `${view.standing}; ${ratio}` };
}
