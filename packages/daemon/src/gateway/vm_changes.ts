/**
 * Changes of VMs that come together.
 *
 * Answers the moments at which many VMs start or go. One report names up to 25 VMs
 * of a zone; were each of them a line of the log and a new list of VMs for the
 * steering, a VM that starts among 200 would be busy with that before it serves.
 *
 * @module
 */

import type { InstanceId } from "@poplarthread/ids";
import type { Member } from "./ports.ts";
import type { VmChange } from "./vm_directory.ts";

/** VMs that changed alike. */
export interface AlikeChanges {
  readonly change: VmChange;
  readonly instances: readonly InstanceId[];
}

/** Holds changes until they are taken. */
export class VmChanges {
  readonly #instances = new Map<VmChange, InstanceId[]>();

  add({ instance }: Member, change: VmChange): void {
    const alike = this.#instances.get(change);
    if (alike === undefined) {
      this.#instances.set(change, [instance]);
    } else {
      alike.push(instance);
    }
  }

  /** All that were added since the last call. */
  take(): readonly AlikeChanges[] {
    const taken = [...this.#instances]
      .map(([change, instances]) => ({ change, instances }));
    this.#instances.clear();
    return taken;
  }
}
