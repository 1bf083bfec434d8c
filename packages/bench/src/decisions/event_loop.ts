/**
 * Discrete-event loop: runs tasks in the order of their simulated times,
 * without waiting in real time.
 *
 * @module
 */

interface Task {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Event loop over a binary heap of tasks. Tasks due at the same time run in
 * the order in which they were scheduled. */
export class EventLoop {
  now = 0;
  #tasks: Task[] = [];
  #order = 0;

  /** Schedules `run` for `delayMs` of simulated time from now. */
  after(delayMs: number, run: () => void): void {
    this.#push({ at: this.now + delayMs, order: this.#order++, run });
  }

  /** Runs the tasks due up to `endMs`, then sets the time to `endMs`. */
  runUntil(endMs: number): void {
    while (this.#tasks.length > 0 && this.#tasks[0]!.at <= endMs) {
      const task = this.#pop();
      this.now = task.at;
      task.run();
    }
    this.now = endMs;
  }

  #push(task: Task): void {
    const tasks = this.#tasks;
    let at = tasks.length;
    tasks.push(task);
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (!isBefore(task, tasks[parent]!)) break;
      tasks[at] = tasks[parent]!;
      at = parent;
    }
    tasks[at] = task;
  }

  #pop(): Task {
    const tasks = this.#tasks;
    const first = tasks[0]!;
    const last = tasks.pop()!;
    if (tasks.length === 0) return first;
    let at = 0;
    for (;;) {
      let child = 2 * at + 1;
      if (child >= tasks.length) break;
      const right = child + 1;
      if (right < tasks.length && isBefore(tasks[right]!, tasks[child]!)) {
        child = right;
      }
      if (!isBefore(tasks[child]!, last)) break;
      tasks[at] = tasks[child]!;
      at = child;
    }
    tasks[at] = last;
    return first;
  }
}

function isBefore(a: Task, b: Task): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}
