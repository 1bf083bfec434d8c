/**
 * Staleness bound for a process's copy of a shared table.
 *
 * Needed for revocation: a process that cannot read the table must stop relying on its
 * copy in time, or it still grants a right that has been revoked. The age of a copy
 * counts from the start of the read that returned it, since a change may have been
 * accepted at any moment after that. A copy received from another process counts from
 * the start of that process's read, with the time in transit added. The time up to
 * which a copy is known to be complete is called "known since". Messages carry
 * durations only, never wall-clock times.
 *
 * Times are milliseconds of the process's own monotonic clock, which must keep running
 * while the process is suspended.
 *
 * @module
 */

/** Start and end of a read of the table. */
export interface TableRead {
  readonly startedAt: number;
  readonly endedAt: number;
}

/** Age of a process's copy as reported to another process; durations only. */
export interface FreshnessReport {
  /** Time since the start of the read that returned the copy, in milliseconds. */
  readonly readAgeMs: number;
  /** Time between receipt of the request and this response, in milliseconds. */
  readonly heldMs: number;
}

/** Times of a request and its response, both on the clock of the process that uses them. */
export interface RequestTimes {
  readonly requestedAt: number;
  readonly respondedAt: number;
}

/** Time up to which the result of a read is known to be complete. */
export function knownSinceRead({ startedAt }: TableRead): number {
  return startedAt;
}

/**
 * Time up to which a copy received from another process is known to be complete. Only
 * the total transit time of both directions is known, so all of it counts as age.
 */
export function knownSinceReport(
  { readAgeMs, heldMs }: FreshnessReport,
  { requestedAt, respondedAt }: RequestTimes,
): number {
  const transitMs = Math.max(0, respondedAt - requestedAt - heldMs);
  return respondedAt - transitMs - readAgeMs;
}

/** The age report of a process whose copy is complete up to `knownSince`, in its response to a request. */
export function freshnessReport(
  knownSince: number,
  { requestedAt, respondedAt }: RequestTimes,
): FreshnessReport {
  // Rounded so that the receiver underestimates neither the age nor the transit time.
  return {
    readAgeMs: Math.ceil(respondedAt - knownSince),
    heldMs: Math.floor(respondedAt - requestedAt),
  };
}

/** The later of two times up to which a copy is complete: a copy never becomes older. */
export function laterKnownSince(knownSince: number, other: number): number {
  return Math.max(knownSince, other);
}

/** Whether a copy of this age may be relied on. */
export function isReliable(ageMs: number, boundMs: number): boolean {
  return ageMs <= boundMs;
}
