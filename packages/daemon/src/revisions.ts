/**
 * Which revision each VM confirmed last.
 *
 * @module
 */

import type { VmId } from "@poplarthread/ids";

/** A confirmation, and when it was heard on this VM's monotonic clock. */
export interface Confirmed {
  readonly revision: number;
  readonly at: number;
}

/** What VMs said of themselves. */
export class Revisions {
  readonly #confirmed = new Map<VmId, Confirmed>();

  /** A VM's own word; a lower revision comes from an older message and is no news. */
  heard(vm: VmId, revision: number, now: number): void {
    const known = this.#confirmed.get(vm);
    if (known === undefined || revision >= known.revision) {
      this.#confirmed.set(vm, { revision, at: now });
    }
  }

  forget(vm: VmId): void {
    this.#confirmed.delete(vm);
  }

  of(vm: VmId): Confirmed | undefined {
    return this.#confirmed.get(vm);
  }
}
