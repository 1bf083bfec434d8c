/**
 * Groups changes of VMs that arrive together.
 *
 * One zone report lists up to 25 VMs. If each of them led to a log line and a new list of
 * VMs for the steering, a VM that starts in a fleet of 200 would be busy with that before
 * it can serve requests.
 *
 * @module
 */

import type { InstanceId } from "@poplarthread/ids";
import type { Member } from "./ports.ts";
import type { VmChange } from "./vm_directory.ts";

/** VMs with the same change. */
export interface VmChangeGroup {
  readonly change: VmChange;
  readonly instances: readonly InstanceId[];
}

/** Collects changes until they are taken. */
export class VmChanges {
  readonly #instances = new Map<VmChange, InstanceId[]>();

  add({ instance }: Member, change: VmChange): void {
    const instances = this.#instances.get(change);
    if (instances === undefined) {
      this.#instances.set(change, [instance]);
    } else {
      instances.push(instance);
    }
  }

  /** Returns and removes the changes since the last call, grouped. */
  take(): readonly VmChangeGroup[] {
    const taken = [...this.#instances]
      .map(([change, instances]) => ({ change, instances }));
    this.#instances.clear();
    return taken;
  }
}
