/**
 * The tasks of a gateway under their supervisor, and whether those run without which
 * callers cannot be served.
 *
 * @module
 */

import { messageOf } from "../errors.ts";
import { Supervisor } from "../supervisor.ts";
import type { SupervisedTask } from "../task.ts";
import type { EventLog } from "./events.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";

/** Options of {@link GatewayTasks}. Tasks start in the order of the lists. */
export interface GatewayTasksOptions {
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  /** Accepts requests from other VMs. It starts first: the first heartbeat tells of it. */
  readonly forwarding: SupervisedTask;
  /** Tasks without which callers cannot be served. */
  readonly required: readonly SupervisedTask[];
  readonly optional: readonly SupervisedTask[];
  /** Tasks that never end the process. */
  readonly expendable: readonly SupervisedTask[];
  /** Called when it has changed whether other VMs can forward requests to this one. */
  forwardingChanged(isRunning: boolean): void;
  /** Called when it has changed whether callers can be served. */
  servingChanged(isServing: boolean): void;
}

/** See the module comment. */
export class GatewayTasks {
  readonly #options: GatewayTasksOptions;
  readonly #supervisor: Supervisor;
  #acceptsForwarded = false;
  #isServing = false;
  #hasServed = false;

  constructor(options: GatewayTasksOptions) {
    this.#options = options;
    const { forwarding, required, optional, expendable } = options;
    this.#supervisor = this.#createSupervisor();
    [forwarding, ...required, ...optional].forEach((task) =>
      this.#supervisor.add(task)
    );
    expendable.forEach((task) =>
      this.#supervisor.add(task, { whenExhausted: "keep-trying" })
    );
  }

  /** Whether callers can be served. */
  get isServing(): boolean {
    return this.#isServing;
  }

  /** Whether callers could be served at any time. */
  get hasServed(): boolean {
    return this.#hasServed;
  }

  /** Starts all tasks; `failed` is called when one cannot be kept running. */
  start(failed: (err: unknown) => void): Promise<void> {
    return this.#supervisor.start({ failed: (_task, err) => failed(err) });
  }

  stop(): Promise<void> {
    return this.#supervisor.stop();
  }

  #createSupervisor(): Supervisor {
    const { log, metrics } = this.#options;
    return new Supervisor("gateway", {
      listener: {
        taskFailed: (task, err, { isRepeated }) => {
          metrics.taskFailed(task);
          if (!isRepeated) {
            log.write("task failed", { task, reason: messageOf(err) });
          }
        },
        taskRestarted: (task) => {
          metrics.taskRestarted(task);
          log.write("task restarted", { task });
        },
        statesChanged: () => {
          this.#updateForwarding();
          this.#updateServing();
        },
      },
    });
  }

  #updateForwarding(): void {
    const { forwarding, forwardingChanged } = this.#options;
    const isRunning = this.#supervisor.areRunning([forwarding]);
    if (isRunning !== this.#acceptsForwarded) {
      this.#acceptsForwarded = isRunning;
      forwardingChanged(isRunning);
    }
  }

  #updateServing(): void {
    const { required, servingChanged } = this.#options;
    const isServing = this.#supervisor.areRunning(required);
    if (isServing !== this.#isServing) {
      this.#isServing = isServing;
      this.#hasServed ||= isServing;
      servingChanged(isServing);
    }
  }
}
