/**
 * Compares rows of the platform's store.
 *
 * @module
 */

import type { StoredRow } from "./ports.ts";

/** Whether two rows are the same, or both missing. Compares the bytes, too: after a restore of the store, another row may have the same version. */
export function isSameRow(
  one: StoredRow | undefined,
  other: StoredRow | undefined,
): boolean {
  return one?.version === other?.version &&
    (one?.value === other?.value ||
      (one?.value !== undefined && other?.value !== undefined &&
        one.value.equals(other.value)));
}
