/**
 * Counters and histograms of a gateway, in the text format of Prometheus.
 *
 * @module
 */

import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { DeliverySummary } from "./caller_response.ts";
import { ChangeMetrics } from "./change_metrics.ts";
import { HomeMetrics } from "./homes/home_metrics.ts";
import { RetryMetrics } from "./retry_metrics.ts";
import { RoomMetrics } from "./room_metrics.ts";
import type { RequestPathGauges } from "./request_path.ts";
import type { VmEnd } from "./vm_runs.ts";

/** Bounds of the histogram's buckets: the latency objectives of the deployments are between 0.2 and 0.5 s. */
const LATENCY_BUCKETS_S = [
  0.02,
  0.05,
  0.1,
  0.2,
  0.3,
  0.4,
  0.5,
  0.75,
  1,
  1.5,
  2,
  3,
];

/** Values of the gauges at the time of a scrape. */
export interface GatewayGauges extends RequestPathGauges {
  readonly openRequests: number;
  /** Memory that open requests take, without their bodies. */
  readonly requestBytes: number;
  /** Callers' connections that were closed because there were too many. */
  readonly closedConnections: number;
  readonly configurationVersion: number;
  /** The history of the store that the operator's rows belong to. */
  readonly storeEra: number;
  /** Times since the store last confirmed the rows. */
  readonly operatorRowsSeconds: number;
  readonly targetRowsSeconds: number;
  readonly targetsReached: number;
  readonly processorShort: number;
  /** 1 while callers can be served. */
  readonly serving: number;
  readonly startedFromCodeCache: number;
  readonly vmsUp: number;
  /** VMs that share the fleet's limits; 0 while their number is not known. */
  readonly fleetVms: number;
  /** Lines that the log dropped because its reader did not keep up. */
  readonly droppedLines: number;
  /** Distant targets to which a connection is kept open. */
  readonly keptConnections: number;
}

/** See the module's comment. */
export class GatewayMetrics {
  readonly #registry = new Registry();
  /** Metrics of homes by load. */
  readonly homes = new HomeMetrics(this.#registry);
  /** Metrics of services that have less room than is asked for. */
  readonly room = new RoomMetrics(this.#registry);
  /** Metrics of reading the platform's changes. */
  readonly changes = new ChangeMetrics(this.#registry);
  /** Metrics of retries. */
  readonly retries = new RetryMetrics(this.#registry);
  readonly #requests = this.#counter(
    "poplarthread_gateway_requests_total",
    "Callers' requests by how they ended",
    "end",
  );
  readonly #responses = this.#counter(
    "poplarthread_gateway_responses_total",
    "Responses of targets by how they reached their callers: buffered, streamed, or cut after they had begun",
    "delivery",
  );
  readonly #attempts = this.#counter(
    "poplarthread_gateway_attempts_total",
    "Sendings of requests to targets by how they ended",
    "end",
  );
  readonly #forwards = this.#counter(
    "poplarthread_gateway_forwards_total",
    "Forwardings of requests to other VMs, while this one reaches no target, by how they ended",
    "end",
  );
  readonly #vmEnds = this.#counter(
    "poplarthread_gateway_vm_ends_total",
    "Ends of processes of the zone's other VMs: stopped in order, failed by their own account, or unannounced",
    "reason",
  );
  readonly #taskFailures = this.#counter(
    "poplarthread_gateway_task_failures_total",
    "Failures of the tasks of this process, among them each try to bind a port that another process holds",
    "task",
  );
  readonly #taskRestarts = this.#counter(
    "poplarthread_gateway_task_restarts_total",
    "Restarts of the tasks of this process that succeeded",
    "task",
  );
  readonly #stateChanges = this.#counter(
    "poplarthread_gateway_belief_changes_total",
    "Changes of what this VM believes of targets, peers and the platform",
    "change",
  );
  readonly #latency = new Histogram({
    name: "poplarthread_gateway_request_duration_seconds",
    help:
      "Time from a request's header to its final answer, by rank of its route",
    labelNames: ["priority"],
    buckets: LATENCY_BUCKETS_S,
    registers: [this.#registry],
  });

  /** `read` returns the values of the gauges; called at each scrape. */
  constructor(read: () => GatewayGauges) {
    const gauge = (
      field: keyof GatewayGauges,
      name: string,
      help: string,
    ): void => {
      this.#registry.registerMetric(
        new Gauge({
          name: `poplarthread_gateway_${name}`,
          help,
          registers: [],
          collect() {
            this.set(read()[field]);
          },
        }),
      );
    };
    gauge(
      "openRequests",
      "open_requests",
      "Requests without their final answer",
    );
    gauge(
      "requestBytes",
      "request_bytes",
      "Memory that open requests take, without their bodies, estimated",
    );
    gauge(
      "closedConnections",
      "closed_connections",
      "Callers' connections that were closed because there were too many, since the start",
    );
    gauge(
      "waitingRequests",
      "waiting_requests",
      "Requests that wait for a target",
    );
    gauge(
      "configurationVersion",
      "configuration_version",
      "Version of the configuration in force",
    );
    gauge(
      "storeEra",
      "store_era",
      "History of the platform's store that the operator's rows belong to",
    );
    gauge(
      "operatorRowsSeconds",
      "operator_rows_age_seconds",
      "Time since the store last confirmed the operator's rows",
    );
    gauge(
      "targetRowsSeconds",
      "target_rows_age_seconds",
      "Time since the store last confirmed the targets' rows",
    );
    gauge(
      "heldResponseBytes",
      "held_response_bytes",
      "Bytes of request and response bodies that are held",
    );
    gauge(
      "responseBudgetBytes",
      "response_budget_bytes",
      "Memory for request and response bodies that are held",
    );
    gauge(
      "residentBytes",
      "resident_bytes",
      "Memory that the process takes",
    );
    gauge(
      "memoryShort",
      "memory_short",
      "1 while requests are refused because the process is close to the VM's memory",
    );
    gauge(
      "memoryCollections",
      "memory_collections",
      "Collections of garbage because the process was large, since its start",
    );
    gauge(
      "serving",
      "serving",
      "1 while the listeners run without which callers cannot be served",
    );
    gauge("targets", "targets", "Targets that are known");
    gauge(
      "limitedTargets",
      "limited_targets",
      "Targets that have named a limit for all VMs together",
    );
    gauge(
      "heldBackRequests",
      "held_back_requests",
      "Requests that are held back because targets crashed under them",
    );
    gauge(
      "targetsReached",
      "targets_reached",
      "1 while this VM reaches targets, 0 while it is cut off from all of them",
    );
    gauge(
      "processorShort",
      "processor_short",
      "1 while this VM lacks processor time for its callers, else 0",
    );
    gauge(
      "startedFromCodeCache",
      "started_from_code_cache",
      "1 if the process was started from compiled code, 0 if it had to compile its code first",
    );
    gauge("vmsUp", "vms_up", "VMs that are up, this one among them");
    gauge(
      "fleetVms",
      "fleet_vms",
      "VMs by which this one divides the limits of the fleet: those that may be running, heard of or not; 0 while it knows no list of VMs",
    );
    gauge(
      "keptConnections",
      "kept_connections",
      "Distant homes of objects to which a connection is kept open",
    );
    gauge(
      "droppedLines",
      "dropped_log_lines",
      "Lines that the log dropped because nobody read them",
    );
  }

  /** Counts a request that got its final response. */
  requestEnded(
    end: string,
    { priority, seconds, delivery }: {
      priority: number;
      seconds: number;
      delivery: DeliverySummary;
    },
  ): void {
    this.#requests.inc({ end });
    if (delivery.mode !== undefined) {
      this.#responses.inc({ delivery: delivery.isCut ? "cut" : delivery.mode });
    }
    this.#latency.observe({ priority }, seconds);
  }

  /** Counts a request that was refused before it became an exchange. */
  requestRefused(reason: string): void {
    this.#requests.inc({ end: reason });
  }

  attemptEnded(end: string): void {
    this.#attempts.inc({ end });
  }

  /** Counts a request that was forwarded to another VM. */
  forwardEnded(end: string): void {
    this.#forwards.inc({ end });
  }

  /** Counts a failure of a task. */
  taskFailed(task: string): void {
    this.#taskFailures.inc({ task });
  }

  /** Counts a restart of a task that succeeded. */
  taskRestarted(task: string): void {
    this.#taskRestarts.inc({ task });
  }

  /** Counts an end of another VM's process. */
  vmEnded(reason: VmEnd): void {
    this.#vmEnds.inc({ reason });
  }

  /** Counts `count` state changes of one kind, of targets or peers. */
  stateChanged(change: string, count = 1): void {
    this.#stateChanges.inc({ change }, count);
  }

  /** All metrics in the text format. */
  text(): Promise<string> {
    return this.#registry.metrics();
  }

  #counter(name: string, help: string, label: string): Counter {
    return new Counter({
      name,
      help,
      labelNames: [label],
      registers: [this.#registry],
    });
  }
}
