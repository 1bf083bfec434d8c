/**
 * Counts how often each attempt and each idempotency key ran on the targets of
 * one process. The counts survive the targets' crashes, which are simulated
 * within the process.
 *
 * @module
 */

/** Run counts of all targets of a process, as its administration listener reports them. */
export interface RunsReport {
  /** Number of runs by attempt. */
  readonly attempts: Readonly<Record<string, number>>;
  /** Number of runs by idempotency key. */
  readonly keys: Readonly<Record<string, number>>;
}

/** Counts runs by attempt and by idempotency key. */
export class RunCounter {
  readonly #attempts = new Map<string, number>();
  readonly #keys = new Map<string, number>();

  /** Counts one run; `attempt` and `key` are empty if the request has none. */
  record(attempt: string, key: string): void {
    increment(this.#attempts, attempt);
    increment(this.#keys, key);
  }

  report(): RunsReport {
    return {
      attempts: Object.fromEntries(this.#attempts),
      keys: Object.fromEntries(this.#keys),
    };
  }
}

function increment(counts: Map<string, number>, name: string): void {
  if (name !== "") {
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
}
