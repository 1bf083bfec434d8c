/**
 * A task owns its sockets, timers and state, and is talked to by typed
 * messages only. It is started, and started again, by a supervisor.
 *
 * @module
 */

/** A task as its supervisor sees it, whatever messages it takes. */
export interface Supervised {
  readonly name: string;
  /** Settles when the task serves. */
  start(parent: Parent): Promise<void>;
  /** Ends the task and everything it owns. */
  stop(): Promise<void>;
}

/** What a task tells its supervisor. */
export interface Parent {
  /** The task cannot go on; called at most once for each start. */
  failed(task: Supervised, err: unknown): void;
}

/** Every message is one of a union told apart by `kind`. */
export interface Message {
  readonly kind: string;
}

/** The life of a task, as the supervisor sees it. */
export type TaskState = "running" | "waiting" | "failed" | "stopped";

/**
 * A supervised task. Messages are handled one after another, in the order they
 * were sent; a message sent while another is handled waits for its end. What
 * `receive` throws fails the task, never the sender.
 */
export abstract class Task<M extends Message = Message> implements Supervised {
  readonly name: string;
  #parent: Parent | undefined;
  #running = false;
  #draining = false;
  /** Grows with each start, so that work of an earlier life is told apart. */
  #life = 0;
  readonly #queue: M[] = [];
  readonly #timers = new Set<NodeJS.Timeout>();

  constructor(name: string) {
    this.name = name;
  }

  /** Whether messages reach the task now. */
  get running(): boolean {
    return this.#running;
  }

  /** Starts the task under `parent`; settles when it serves. For supervisors. */
  async start(parent: Parent): Promise<void> {
    this.#parent = parent;
    this.#running = true;
    this.#life += 1;
    try {
      await this.open();
    } catch (err) {
      await this.stop();
      throw err;
    }
  }

  /** Ends the task and everything it owns. For supervisors. */
  async stop(): Promise<void> {
    this.#running = false;
    this.#life += 1;
    this.#queue.length = 0;
    for (const timer of this.#timers) {
      clearTimeout(timer);
    }
    this.#timers.clear();
    await this.close();
  }

  /**
   * Gives the task a message. While the task is down the message is dropped:
   * protocols between tasks repeat what must arrive, and a queue for a task
   * that does not come back would grow without bound.
   */
  send(message: M): void {
    if (!this.#running) {
      return;
    }
    this.#queue.push(message);
    if (this.#draining) {
      return;
    }
    this.#draining = true;
    try {
      for (let next = this.#queue.shift(); next; next = this.#queue.shift()) {
        this.receive(next);
      }
    } catch (err) {
      this.fail(err);
    } finally {
      this.#draining = false;
    }
  }

  /** Opens what the task owns. */
  protected abstract open(): Promise<void> | void;

  /** Handles one message. */
  protected abstract receive(message: M): void;

  /** Closes what the task owns; also called after a failed `open`. */
  protected abstract close(): Promise<void> | void;

  /** Sends `message` to this task every `periodMs`, until it stops. */
  protected every(periodMs: number, message: M): void {
    const timer = setInterval(() => this.send(message), periodMs);
    this.#timers.add(timer);
  }

  /** Sends `message` to this task once, after `delayMs`, unless it stops before. */
  protected after(delayMs: number, message: M): void {
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      this.send(message);
    }, delayMs);
    this.#timers.add(timer);
  }

  /**
   * Runs asynchronous work of this life. Its rejection fails the task, unless
   * the task has been stopped since: a new life must not die of an old error.
   */
  protected spawn(work: Promise<unknown>): void {
    const life = this.#life;
    work.catch((err) => {
      if (life === this.#life) {
        this.fail(err);
      }
    });
  }

  /** Reports that the task cannot go on. */
  protected fail(err: unknown): void {
    if (!this.#running) {
      return;
    }
    this.#running = false;
    this.#queue.length = 0;
    this.#parent?.failed(this, err);
  }
}
