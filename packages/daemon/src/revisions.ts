/**
 * The revision that each VM confirmed last.
 *
 * @module
 */

import type { VmId } from "@poplarthread/ids";

/** A confirmed revision, and when it was received on this VM's monotonic clock. */
export interface ConfirmedRevision {
  readonly revision: number;
  readonly at: number;
}

/** The latest revision confirmed by each VM. */
export class Revisions {
  readonly #confirmed = new Map<VmId, ConfirmedRevision>();

  /** Stores a confirmation by the VM itself; a lower revision is from an older message and is ignored. */
  confirm(vm: VmId, revision: number, now: number): void {
    const known = this.#confirmed.get(vm);
    if (known === undefined || revision >= known.revision) {
      this.#confirmed.set(vm, { revision, at: now });
    }
  }

  remove(vm: VmId): void {
    this.#confirmed.delete(vm);
  }

  of(vm: VmId): ConfirmedRevision | undefined {
    return this.#confirmed.get(vm);
  }
}
