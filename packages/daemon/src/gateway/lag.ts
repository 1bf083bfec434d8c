/**
 * How far a VM is behind what other VMs have read.
 *
 * @module
 */

/** See the module comment. Times are milliseconds of the monotonic clock. */
export class Lag {
  /** The oldest version that peers have named and this VM lacks, and since when. */
  #missing: { readonly version: number; readonly since: number } | undefined;

  /** A peer has named a version that this VM lacks. */
  missed(version: number, now: number): void {
    this.#missing ??= { version, since: now };
  }

  /** Rows up to `version` have arrived. Returns for how long one was missing, 0 if none was. */
  arrived(version: number, now: number): number {
    const missing = this.#missing;
    if (missing === undefined || version < missing.version) {
      return 0;
    }
    this.#missing = undefined;
    return now - missing.since;
  }

  /** The versions are those of another history from now on. */
  reset(): void {
    this.#missing = undefined;
  }
}
