/**
 * The latest changes of a document, for VMs that missed some.
 *
 * @module
 */

import type { DisseminatedChange } from "./messages.ts";

/** Changes kept: at 2,500 a day, those of the last half hour. */
const MAX_CHANGES = 64;

/** Characters kept in all, so that large changes cannot take the memory. */
const MAX_CHARACTERS = 8 * 1024 * 1024;

/** A chain of changes, each following the one before. */
export class ChangeLog {
  #changes: DisseminatedChange[] = [];

  /** Adds the newest change. */
  add(change: DisseminatedChange): void {
    if (change.from === 0) {
      // The whole document: nothing before it is needed.
      this.#changes = [];
    }
    this.#changes.push(change);
    while (this.#changes.length > 1 && this.#isTooLong()) {
      this.#changes.shift();
    }
  }

  /** Forgets all: the document came from elsewhere. */
  clear(): void {
    this.#changes = [];
  }

  /** The newest change, if any is kept. */
  latest(): DisseminatedChange | undefined {
    return this.#changes.at(-1);
  }

  /** What leads from `revision` to the newest, or undefined where the chain is broken. */
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
