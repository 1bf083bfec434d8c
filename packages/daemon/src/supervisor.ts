/**
 * The supervisor: starts its tasks in order, restarts one that fails with
 * backoff, and fails itself when restarts don't help. A supervisor is a task,
 * so supervisors form a tree.
 *
 * @module
 */

import { messageOf, RestartLimitError } from "./errors.ts";
import type { TaskStatus } from "@poplarthread/operator-api";
import { type Parent, type Supervised, Task, type TaskState } from "./task.ts";

/** How a supervisor restarts its tasks. */
export interface RestartPolicy {
  /** Delay before the first restart, in milliseconds; doubles with each one. */
  readonly firstDelayMs: number;
  readonly longestDelayMs: number;
  /** More restarts of one task than this within `windowMs` fail the supervisor. */
  readonly limit: number;
  readonly windowMs: number;
}

/**
 * 100 ms lets a port be freed; 5 s is what operators accept as "back within
 * seconds"; five restarts within a minute mean that restarting does not help.
 */
export const DEFAULT_RESTARTS: RestartPolicy = {
  firstDelayMs: 100,
  longestDelayMs: 5_000,
  limit: 5,
  windowMs: 60_000,
};

/** Told of each restart, for logs and metrics. */
export interface SupervisionListener {
  taskFailed(path: string, err: unknown): void;
  taskRestarted(path: string): void;
}

interface Child {
  readonly task: Supervised;
  state: TaskState;
  restarts: number;
  lastError: string | undefined;
  /** Times of the restarts within the window, in milliseconds of the monotonic clock. */
  recent: number[];
}

/** What a supervisor sends itself. */
type SupervisorMessage = { readonly kind: "restart"; readonly child: Child };

/** Construction of a supervisor. */
export interface SupervisorOptions {
  readonly policy?: RestartPolicy;
  readonly listener: SupervisionListener;
}

/** Restarts tasks one for one. */
export class Supervisor extends Task<SupervisorMessage> implements Parent {
  readonly #children: Child[] = [];
  readonly #policy: RestartPolicy;
  readonly #listener: SupervisionListener;

  constructor(name: string, options: SupervisorOptions) {
    super(name);
    this.#policy = options.policy ?? DEFAULT_RESTARTS;
    this.#listener = options.listener;
  }

  /** Adds a task; it starts with the supervisor, after those added before. */
  add(task: Supervised): void {
    this.#children.push({
      task,
      state: "stopped",
      restarts: 0,
      lastError: undefined,
      recent: [],
    });
  }

  /** The tasks below, with their paths in the tree. */
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
    const child = this.#children.find((one) => (one.task as unknown) === task)!;
    this.#note(child, err);
    this.spawn(this.#restartLater(child));
  }

  protected override async open(): Promise<void> {
    for (const child of this.#children) {
      child.recent = [];
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

  /** Stops the tasks, last started first, since later ones use earlier ones. */
  protected override async close(): Promise<void> {
    for (const child of this.#children.toReversed()) {
      await child.task.stop();
      child.state = "stopped";
    }
  }

  #note(child: Child, err: unknown): void {
    child.lastError = messageOf(err);
    this.#listener.taskFailed(child.task.name, err);
  }

  async #restartLater(child: Child): Promise<void> {
    child.state = "waiting";
    await child.task.stop();
    const now = performance.now();
    child.recent = child.recent.filter((at) =>
      at > now - this.#policy.windowMs
    );
    if (child.recent.length >= this.#policy.limit) {
      child.state = "failed";
      throw new RestartLimitError(
        `Cannot keep ${child.task.name} running: ${child.lastError}`,
      );
    }
    const delayMs = Math.min(
      this.#policy.firstDelayMs * 2 ** child.recent.length,
      this.#policy.longestDelayMs,
    );
    child.recent.push(now);
    this.after(delayMs, { kind: "restart", child });
  }

  async #restart(child: Child): Promise<void> {
    child.restarts += 1;
    this.#listener.taskRestarted(child.task.name);
    try {
      await child.task.start(this);
      child.state = "running";
    } catch (err) {
      this.#note(child, err);
      await this.#restartLater(child);
    }
  }
}
