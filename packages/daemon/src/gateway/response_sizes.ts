/**
 * The usual size of responses, by kind of request.
 *
 * @module
 */

/** Weight of the latest response in the mean. */
const LATEST_WEIGHT = 1 / 8;
/** Kinds with a smaller mean are forgotten, so that the table holds only kinds with large responses. */
const MIN_MEAN_BYTES = 4_096;

/** A moving mean for each kind of request with large responses. */
export class ResponseSizes {
  readonly #means = new Map<string, number>();

  /** Records the size of a response. */
  record(kind: string, bytes: number): void {
    const mean = this.#means.get(kind);
    if (mean === undefined && bytes < MIN_MEAN_BYTES) {
      return;
    }
    const next = mean === undefined
      ? bytes
      : mean + (bytes - mean) * LATEST_WEIGHT;
    if (next < MIN_MEAN_BYTES) {
      this.#means.delete(kind);
    } else {
      this.#means.set(kind, next);
    }
  }

  /** Expected size of a response to a request of this kind; 0 if it is small or not known. */
  expected(kind: string): number {
    return this.#means.get(kind) ?? 0;
  }
}
