/**
 * A task owns its sockets, timers and state, and other code reaches it only by
 * typed messages. A supervisor starts and restarts it.
 *
 * @module
 */

/** A task as its supervisor sees it, whatever messages it handles. */
export interface SupervisedTask {
  readonly name: string;
  /** Resolves when the task is ready for messages and requests. */
  start(parent: Parent): Promise<void>;
  /** Stops the task and releases everything it owns. */
  stop(): Promise<void>;
}

/** The supervisor of a task, as the task sees it. */
export interface Parent {
  /** The task cannot continue; called at most once per start. */
  failed(task: SupervisedTask, err: unknown): void;
}

/** Base of all messages; a task handles a union discriminated by `kind`. */
export interface Message {
  readonly kind: string;
}

/** The state of a task, as its supervisor sees it; `waiting` until a delayed restart. */
export type TaskState = "running" | "waiting" | "failed" | "stopped";

/**
 * A supervised task. It handles messages one at a time, in the order they were
 * sent; a message sent while another is being handled is queued. An error thrown by
 * `receive` fails the task, never the sender.
 */
export abstract class Task<M extends Message = Message>
  implements SupervisedTask {
  readonly name: string;
  #parent: Parent | undefined;
  #running = false;
  #handling = false;
  /** Grows with each start and stop; identifies asynchronous work of an earlier run. */
  #runNumber = 0;
  readonly #queue: M[] = [];
  readonly #timers = new Set<NodeJS.Timeout>();

  constructor(name: string) {
    this.name = name;
  }

  /** Whether the task accepts messages. */
  get running(): boolean {
    return this.#running;
  }

  /** Starts the task under `parent`; resolves when it is ready. Only for supervisors. */
  async start(parent: Parent): Promise<void> {
    this.#parent = parent;
    this.#running = true;
    this.#runNumber += 1;
    try {
      await this.open();
    } catch (err) {
      await this.stop();
      throw err;
    }
    if (!this.#running) {
      // Stopped meanwhile: what was acquired since is released, too.
      await this.stop();
    }
  }

  /** Stops the task and releases everything it owns. Only for supervisors. */
  async stop(): Promise<void> {
    this.#running = false;
    this.#runNumber += 1;
    this.#queue.length = 0;
    for (const timer of this.#timers) {
      clearTimeout(timer);
    }
    this.#timers.clear();
    await this.close();
  }

  /**
   * Sends the task a message. Messages to a task that isn't running are dropped:
   * protocols between tasks repeat what must arrive, and the queue of a task that
   * is never restarted would grow without bound.
   */
  send(message: M): void {
    if (!this.#running) {
      return;
    }
    this.#queue.push(message);
    if (this.#handling) {
      return;
    }
    this.#handling = true;
    try {
      for (let next = this.#queue.shift(); next; next = this.#queue.shift()) {
        this.receive(next);
      }
    } catch (err) {
      this.fail(err);
    } finally {
      this.#handling = false;
    }
  }

  /** Acquires the resources of the task, and renews the state that an error may have spoiled. */
  protected abstract open(): Promise<void> | void;

  /** Handles one message. */
  protected abstract receive(message: M): void;

  /** Releases the resources of the task; also called after a failed `open`. */
  protected abstract close(): Promise<void> | void;

  /** Sends `message` to this task every `periodMs`, until the task stops. */
  protected sendEvery(periodMs: number, message: M): void {
    const timer = setInterval(() => this.send(message), periodMs);
    this.#timers.add(timer);
  }

  /** Sends `message` to this task once, after `delayMs`, unless the task stops first. */
  protected sendAfter(delayMs: number, message: M): void {
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      this.send(message);
    }, delayMs);
    this.#timers.add(timer);
  }

  /**
   * Tracks asynchronous work of the current run. If it rejects, the task fails,
   * unless the task has been stopped since: an error of an earlier run must not fail
   * a later one.
   */
  protected spawn(work: Promise<unknown>): void {
    const runNumber = this.#runNumber;
    work.catch((err) => {
      if (runNumber === this.#runNumber) {
        this.fail(err);
      }
    });
  }

  /** Stops handling messages and reports the failure to the supervisor. */
  protected fail(err: unknown): void {
    if (!this.#running) {
      return;
    }
    this.#running = false;
    this.#queue.length = 0;
    this.#parent?.failed(this, err);
  }
}
