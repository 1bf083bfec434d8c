/**
 * What ran on the targets of one process: each attempt and each idempotency
 * key with how often. The counts outlive crashes, which are only played.
 *
 * @module
 */

/** Runs of all targets of a process, as its administration listener answers them. */
export interface RunsReport {
  /** Number of runs by attempt. */
  readonly attempts: Readonly<Record<string, number>>;
  /** Number of runs by idempotency key. */
  readonly keys: Readonly<Record<string, number>>;
}

/** Counts runs. */
export class Runs {
  readonly #attempts = new Map<string, number>();
  readonly #keys = new Map<string, number>();

  /** Counts one run; parts that the request does not name are empty. */
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
