/**
 * Counts of changes to homes.
 *
 * @module
 */

/** Numbers of changes since the start. */
export interface HomeChanges {
  assigned: number;
  added: number;
  moved: number;
  dropped: number;
}

/** Counts before any change. */
export function noChanges(): HomeChanges {
  return { assigned: 0, added: 0, moved: 0, dropped: 0 };
}
