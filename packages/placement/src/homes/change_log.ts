/**
 * The order in which homes were changed, so that finding the last changes doesn't
 * take a look at all objects.
 *
 * @module
 */

/** An entry whose last change has a number. */
export interface Numbered {
  sequence: number;
}

/** A change; a later one of the same record replaces it. */
interface Change<T> {
  readonly record: T;
  readonly sequence: number;
}

/** Changes kept beyond two for each record before replaced ones are removed. */
const MIN_CHANGES = 100;

/** Number of a record without a change; the first change is 1. */
const REMOVED = 0;

/** See the module comment. */
export class ChangeLog<T extends Numbered> {
  #changes: Change<T>[] = [];
  #sequence = 0;

  /** Number of the last change. */
  get sequence(): number {
    return this.#sequence;
  }

  /** Number of changes that are kept. */
  get length(): number {
    return this.#changes.length;
  }

  /** Numbers a change; `records` is the number of all records. */
  add(record: T, records: number): void {
    this.#sequence += 1;
    record.sequence = this.#sequence;
    this.#changes.push({ record, sequence: this.#sequence });
    if (this.#changes.length > 2 * records + MIN_CHANGES) {
      this.#changes = this.#changes.filter(isLast);
    }
  }

  /** Removes a record, so that it is not kept for its changes. */
  remove(record: T): void {
    record.sequence = REMOVED;
  }

  /** Records changed after the given number, in the order of their last change. */
  since(sequence: number): readonly T[] {
    const records: T[] = [];
    for (let at = this.#changes.length - 1; at >= 0; at--) {
      const change = this.#changes[at]!;
      if (change.sequence <= sequence) {
        break;
      }
      if (isLast(change)) {
        records.push(change.record);
      }
    }
    return records.reverse();
  }
}

function isLast<T extends Numbered>(
  { record, sequence }: Change<T>,
): boolean {
  return record.sequence === sequence;
}
