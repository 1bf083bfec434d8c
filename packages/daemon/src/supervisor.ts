/**
 * A supervisor starts its tasks in order, restarts a failed one with exponential
 * back-off, and fails itself when restarts don't help. A task that lacks a resource, such
 * as its port, is tried again for as long as that lasts, at the start as well as later.
 * A supervisor is itself a task, so supervisors form a tree.
 *
 * @module
 */

import { messageOf, ResourceError, RestartLimitError } from "./errors.ts";
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
  /** Most restarts of one task within `windowMs` after errors of its own; the next one fails the supervisor. */
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

/** Longest delay before a resource is tried again. */
const MAX_RESOURCE_DELAY_MS = 500;

/** Notified of each failure and restart, for logs and metrics. */
export interface SupervisionListener {
  /** `isRepeated`: a further try failed for the same reason, shortly after one that was reported. */
  taskFailed(
    task: string,
    err: unknown,
    options: { readonly isRepeated: boolean },
  ): void;
  taskRestarted(task: string): void;
  /** Called when a task has started to run, or no longer runs. */
  statesChanged?(): void;
}

/** What a supervisor does when restarts of a task don't help. */
export type WhenExhausted = "fail" | "keep-trying";

/** What a failure is due to: a resource of the system, or an error in the program. */
type FailureKind = "resource" | "program";

interface Restart {
  readonly kind: FailureKind;
  /** In milliseconds of the monotonic clock. */
  readonly at: number;
}

interface Child {
  readonly task: SupervisedTask;
  readonly whenExhausted: WhenExhausted;
  state: TaskState;
  restarts: number;
  lastError: string | undefined;
  /** When a failure was reported last as a new one; undefined if the task has run since. */
  reportedAt: number | undefined;
  /** The restarts within the policy's window. */
  recentRestarts: Restart[];
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
  add(
    task: SupervisedTask,
    { whenExhausted = "fail" }: { readonly whenExhausted?: WhenExhausted } = {},
  ): void {
    this.#children.push({
      task,
      whenExhausted,
      state: "stopped",
      restarts: 0,
      lastError: undefined,
      reportedAt: undefined,
      recentRestarts: [],
    });
  }

  /** Whether all of `tasks` run, which were added to this supervisor. */
  areRunning(tasks: readonly SupervisedTask[]): boolean {
    return this.#children.every(({ task, state }) =>
      state === "running" || !tasks.includes(task)
    );
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
    this.spawn(this.#handleFailure(child, err));
  }

  protected override async open(): Promise<void> {
    for (const child of this.#children) {
      child.recentRestarts = [];
      await this.#start(child);
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

  /** Starts a task; one that cannot start is tried again later. */
  async #start(child: Child): Promise<boolean> {
    try {
      await child.task.start(this);
    } catch (err) {
      await this.#handleFailure(child, err);
      return false;
    }
    this.#setState(child, "running");
    child.reportedAt = undefined;
    return true;
  }

  async #handleFailure(child: Child, err: unknown): Promise<void> {
    this.#report(child, err);
    this.#setState(child, "waiting");
    await child.task.stop();
    if (!this.running) {
      return;
    }
    const kind = err instanceof ResourceError ? "resource" : "program";
    this.sendAfter(this.#restartDelayMs(child, kind), {
      kind: "restart",
      child,
    });
  }

  #report(child: Child, err: unknown): void {
    const reason = messageOf(err);
    const now = performance.now();
    const { reportedAt = -Infinity, lastError } = child;
    const isRepeated = reason === lastError &&
      now - reportedAt < this.#policy.windowMs;
    if (!isRepeated) {
      child.reportedAt = now;
      child.lastError = reason;
    }
    this.#listener.taskFailed(child.task.name, err, { isRepeated });
  }

  /** Counts a restart; throws if the policy allows no further one. */
  #restartDelayMs(child: Child, kind: FailureKind): number {
    const { initialDelayMs, maxDelayMs, maxRestarts, windowMs } = this.#policy;
    const now = performance.now();
    const recent = child.recentRestarts.filter(({ at }) => at > now - windowMs);
    child.recentRestarts = [...recent, { kind, at: now }];
    const delayMs = Math.min(initialDelayMs * 2 ** recent.length, maxDelayMs);
    switch (kind) {
      case "resource":
        return Math.min(delayMs, MAX_RESOURCE_DELAY_MS);
      case "program":
        if (
          recent.filter(({ kind }) => kind === "program").length < maxRestarts
        ) {
          return delayMs;
        }
        if (child.whenExhausted === "keep-trying") {
          return maxDelayMs;
        }
        this.#setState(child, "failed");
        throw new RestartLimitError(
          `Cannot keep ${child.task.name} running: ${child.lastError}`,
        );
    }
  }

  async #restart(child: Child): Promise<void> {
    child.restarts += 1;
    if (await this.#start(child)) {
      this.#listener.taskRestarted(child.task.name);
    }
  }

  #setState(child: Child, state: TaskState): void {
    child.state = state;
    this.#listener.statesChanged?.();
  }
}
