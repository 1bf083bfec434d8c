/**
 * Detects suspensions of this VM.
 *
 * The monotonic clock stops while a VM is suspended, so data from before seems fresh when
 * the VM resumes. The wall clock goes on: its gain over the monotonic clock counts as
 * suspended time. A wall clock that is set forward looks the same; that costs only a read
 * of the store.
 *
 * @module
 */

/** Smaller gains are drift between the clocks and are ignored. */
const MIN_GAIN_MS = 100;

/** See the module's comment. */
export class SuspensionWatch {
  readonly #clocks: () => { readonly monotonic: number; readonly wall: number };
  #offset: number;
  #suspendedMs = 0;

  constructor(
    clocks = () => ({ monotonic: performance.now(), wall: Date.now() }),
  ) {
    this.#clocks = clocks;
    this.#offset = this.#read();
  }

  /** Total time for which this VM has been suspended. */
  get suspendedMs(): number {
    const offset = this.#read();
    const gainMs = offset - this.#offset;
    if (Math.abs(gainMs) >= MIN_GAIN_MS) {
      this.#offset = offset;
      this.#suspendedMs += Math.max(0, gainMs);
    }
    return this.#suspendedMs;
  }

  #read(): number {
    const { monotonic, wall } = this.#clocks();
    return wall - monotonic;
  }
}
