/**
 * The platform's VM list, which lags behind reality.
 *
 * @module
 */

/** One state of the list and when it began. */
interface Snapshot {
  readonly at: number;
  readonly vms: readonly unknown[];
}

/** A list that is served as it stood some time ago. */
export class LaggingList {
  readonly #vms = new Map<string, unknown>();
  #history: readonly Snapshot[] = [{ at: -Infinity, vms: [] }];

  /** Sets a VM's line, or removes it where `value` is undefined. */
  set(id: string, value: unknown, now: number): void {
    if (value === undefined) {
      this.#vms.delete(id);
    } else {
      this.#vms.set(id, value);
    }
    this.#history = [...this.#history, {
      at: now,
      vms: [...this.#vms.values()],
    }];
  }

  /** The list as it stood `lagMs` before `now`; older states are forgotten. */
  read(lagMs: number, now: number): readonly unknown[] {
    const until = now - lagMs;
    const past = this.#history.filter(({ at }) => at <= until);
    const current = past[past.length - 1]!;
    const later = this.#history.filter(({ at }) => at > until);
    this.#history = [current, ...later];
    return current.vms;
  }
}
