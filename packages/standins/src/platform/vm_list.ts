/**
 * The platform's VM list, which can lag behind the actual state.
 *
 * @module
 */

/** The list from `at` until the next snapshot. */
interface Snapshot {
  readonly at: number;
  readonly vms: readonly unknown[];
}

/** A VM list that can be read as of an earlier time. */
export class LaggingVmList {
  readonly #vms = new Map<string, unknown>();
  #history: readonly Snapshot[] = [{ at: -Infinity, vms: [] }];

  /** Sets a VM's entry, or removes it if `value` is undefined. */
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

  /** Returns the list as of `lagMs` before `now`; discards older snapshots. */
  read(lagMs: number, now: number): readonly unknown[] {
    const asOf = now - lagMs;
    const past = this.#history.filter(({ at }) => at <= asOf);
    const current = past[past.length - 1]!;
    const later = this.#history.filter(({ at }) => at > asOf);
    this.#history = [current, ...later];
    return current.vms;
  }
}
