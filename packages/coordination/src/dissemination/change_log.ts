/**
 * The latest changes of a document, for VMs that have missed some.
 *
 * @module
 */

import type { DisseminatedChange } from "./messages.ts";

/** At 2,500 changes a day, these cover about the last half hour. */
const MAX_CHANGES = 64;

/** Limit of the total length, so that large changes cannot use up the memory. */
const MAX_CHARACTERS = 8 * 1024 * 1024;

/** A chain of consecutive changes. */
export class ChangeLog {
  #changes: DisseminatedChange[] = [];

  /** Adds the newest change. */
  add(change: DisseminatedChange): void {
    if (change.from === 0) {
      // The full document: no earlier change is needed.
      this.#changes = [];
    }
    this.#changes.push(change);
    while (this.#changes.length > 1 && this.#isTooLong()) {
      this.#changes.shift();
    }
  }

  /** Removes all changes, after the document was loaded from a snapshot. */
  clear(): void {
    this.#changes = [];
  }

  /** The newest change, if any. */
  latest(): DisseminatedChange | undefined {
    return this.#changes.at(-1);
  }

  /** The changes from `revision` to the newest, or undefined if the log no longer contains them. */
  since(revision: number): readonly DisseminatedChange[] | undefined {
    const start = this.#changes.findIndex(({ from }) =>
      from === revision || from === 0
    );
    return start < 0 ? undefined : this.#changes.slice(start);
  }

  #isTooLong(): boolean {
    const characters = this.#changes
      .reduce((sum, { body }) => sum + body.length, 0);
    return this.#changes.length > MAX_CHANGES || characters > MAX_CHARACTERS;
  }
}
