/**
 * Which process of each other VM runs, and how the ones before it ended, as far as
 * their heartbeats tell.
 *
 * @module
 */

import type { InstanceId, VmId } from "@poplarthread/ids";
import type { Member } from "./ports.ts";
import { HEARTBEAT_TIMEOUT_MS } from "./vm_directory.ts";

/** An end that a process announces in its last heartbeats. */
export type AnnouncedEnd = "stopped" | "failed";

/** How a process ended; `unannounced` if the next one was heard and it had said nothing. */
export type VmEnd = AnnouncedEnd | "unannounced";

/** What a heartbeat tells of the processes of its VM. */
export interface HeardRun {
  /** The process was replaced: its heartbeat was delayed, and says nothing of the VM. */
  readonly isReplaced: boolean;
  /** Ends that were not known before. */
  readonly ends: readonly {
    readonly instance: InstanceId;
    readonly end: VmEnd;
  }[];
}

interface Run {
  readonly instance: InstanceId;
  /** Processes before it, the latest one last. */
  readonly replaced: readonly InstanceId[];
  readonly announced: AnnouncedEnd | undefined;
  readonly heardAt: number;
}

/** Processes of a VM whose delayed heartbeats are recognised. */
const MAX_REPLACED = 8;

/** See the module comment. */
export class VmRuns {
  readonly #runs = new Map<VmId, Run>();

  /** Records a heartbeat that was heard at `now`, with the end that it announces. */
  record(
    { vm, instance }: Pick<Member, "vm" | "instance">,
    { announced, now }: {
      readonly announced?: AnnouncedEnd | undefined;
      readonly now: number;
    },
  ): HeardRun {
    const known = this.#runs.get(vm);
    // Once the one that replaced it is down, a process that is still heard is the current one.
    if (
      known?.replaced.includes(instance) &&
      now - known.heardAt < HEARTBEAT_TIMEOUT_MS
    ) {
      return { isReplaced: true, ends: [] };
    }
    const isNew = known?.instance !== instance;
    const ends: { instance: InstanceId; end: VmEnd }[] = [];
    if (isNew && known !== undefined && known.announced === undefined) {
      ends.push({ instance: known.instance, end: "unannounced" });
    }
    const before = isNew ? undefined : known?.announced;
    if (announced !== undefined && before === undefined) {
      ends.push({ instance, end: announced });
    }
    this.#runs.set(vm, {
      instance,
      replaced: isNew ? replacedBy(instance, known) : known.replaced,
      announced: before ?? announced,
      heardAt: now,
    });
    return { isReplaced: false, ends };
  }
}

function replacedBy(
  instance: InstanceId,
  before: Run | undefined,
): readonly InstanceId[] {
  return before === undefined ? [] : [...before.replaced, before.instance]
    .filter((one) => one !== instance)
    .slice(-MAX_REPLACED);
}
