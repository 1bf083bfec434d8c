/**
 * A supervisor starts its tasks in order, restarts a failed one with exponential
 * back-off, and fails itself when restarts don't help. A supervisor is itself a
 * task, so supervisors form a tree.
 *
 * @module
 */

import { messageOf, RestartLimitError } from "./errors.ts";
import type { TaskStatus } from "@poplarthread/operator-api";
import {
  type Parent,
  type SupervisedTask,
  Task,
  type TaskState,
} from "./task.ts";

/** When a supervisor restarts a failed task, and when it gives up. */
export interface RestartPolicy {
  /** Delay before the first restart; doubles with each further restart in the window. */
  readonly initialDelayMs: number;
  readonly maxDelayMs: number;
  /** Most restarts of one task within `windowMs`; the next failure fails the supervisor. */
  readonly maxRestarts: number;
  readonly windowMs: number;
}

/**
 * 100 ms leave time for a port to be freed; operators accept 5 s as "back within
 * seconds"; five restarts within a minute mean that restarting does not help.
 */
export const DEFAULT_RESTART_POLICY: RestartPolicy = {
  initialDelayMs: 100,
  maxDelayMs: 5_000,
  maxRestarts: 5,
  windowMs: 60_000,
};

/** Notified of each failure and restart, for logs and metrics. */
export interface SupervisionListener {
  taskFailed(task: string, err: unknown): void;
  taskRestarted(task: string): void;
}

interface Child {
  readonly task: SupervisedTask;
  state: TaskState;
  restarts: number;
  lastError: string | undefined;
  /** Times of the restarts within the policy's window, in milliseconds of the monotonic clock. */
  recentRestarts: number[];
}

/** A message that a supervisor sends to itself. */
type SupervisorMessage = { readonly kind: "restart"; readonly child: Child };

/** Options of a supervisor. */
export interface SupervisorOptions {
  readonly policy?: RestartPolicy;
  readonly listener: SupervisionListener;
}

/** Restarts only the task that failed; the others keep running. */
export class Supervisor extends Task<SupervisorMessage> implements Parent {
  readonly #children: Child[] = [];
  readonly #policy: RestartPolicy;
  readonly #listener: SupervisionListener;

  constructor(name: string, options: SupervisorOptions) {
    super(name);
    this.#policy = options.policy ?? DEFAULT_RESTART_POLICY;
    this.#listener = options.listener;
  }

  /** Adds a task; it starts with the supervisor, after the tasks added before it. */
  add(task: SupervisedTask): void {
    this.#children.push({
      task,
      state: "stopped",
      restarts: 0,
      lastError: undefined,
      recentRestarts: [],
    });
  }

  /** The states of all tasks below this one, with their paths in the tree. */
  statuses(prefix = this.name): readonly TaskStatus[] {
    return this.#children.flatMap((child): TaskStatus[] => {
      const path = `${prefix}/${child.task.name}`;
      const status: TaskStatus = {
        task: path,
        state: child.state,
        restarts: child.restarts,
        ...(child.lastError === undefined
          ? {}
          : { lastError: child.lastError }),
      };
      return child.task instanceof Supervisor
        ? [status, ...child.task.statuses(path)]
        : [status];
    });
  }

  failed(task: Task, err: unknown): void {
    const child = this.#children.find((child) =>
      (child.task as unknown) === task
    )!;
    this.#recordFailure(child, err);
    this.spawn(this.#scheduleRestart(child));
  }

  protected override async open(): Promise<void> {
    for (const child of this.#children) {
      child.recentRestarts = [];
      await child.task.start(this);
      child.state = "running";
    }
  }

  protected override receive(message: SupervisorMessage): void {
    switch (message.kind) {
      case "restart":
        this.spawn(this.#restart(message.child));
        return;
      default:
        message.kind satisfies never;
    }
  }

  /** Stops the tasks in reverse order of their start, since later ones use earlier ones. */
  protected override async close(): Promise<void> {
    for (const child of this.#children.toReversed()) {
      await child.task.stop();
      child.state = "stopped";
    }
  }

  #recordFailure(child: Child, err: unknown): void {
    child.lastError = messageOf(err);
    this.#listener.taskFailed(child.task.name, err);
  }

  async #scheduleRestart(child: Child): Promise<void> {
    child.state = "waiting";
    await child.task.stop();
    const now = performance.now();
    child.recentRestarts = child.recentRestarts.filter((at) =>
      at > now - this.#policy.windowMs
    );
    if (child.recentRestarts.length >= this.#policy.maxRestarts) {
      child.state = "failed";
      throw new RestartLimitError(
        `Cannot keep ${child.task.name} running: ${child.lastError}`,
      );
    }
    const delayMs = Math.min(
      this.#policy.initialDelayMs * 2 ** child.recentRestarts.length,
      this.#policy.maxDelayMs,
    );
    child.recentRestarts.push(now);
    this.sendAfter(delayMs, { kind: "restart", child });
  }

  async #restart(child: Child): Promise<void> {
    child.restarts += 1;
    this.#listener.taskRestarted(child.task.name);
    try {
      await child.task.start(this);
      child.state = "running";
    } catch (err) {
      this.#recordFailure(child, err);
      await this.#scheduleRestart(child);
    }
  }
}
