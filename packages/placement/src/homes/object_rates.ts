/**
 * Rates of objects whose requests were not counted yet: those of known objects of
 * like work. Kinds of request differ in both.
 *
 * @module
 */

/** Requests a second of an object without a known one of like work. */
const DEFAULT_PER_SECOND = 0.5;

/** An object's requests. */
export interface ObjectRate {
  /** Time that a warm target takes for one of them, in milliseconds. */
  readonly workMs: number;
  readonly perSecond: number;
}

/** See the module comment. */
export class ObjectRates {
  readonly #means = new Map<number, number>();

  /** Sets the rates of the known objects. */
  set(rates: Iterable<ObjectRate>): void {
    const sums = new Map<number, { perSecond: number; objects: number }>();
    for (const { workMs, perSecond } of rates) {
      const known = sums.get(classOf(workMs)) ?? { perSecond: 0, objects: 0 };
      known.perSecond += perSecond;
      known.objects += 1;
      sums.set(classOf(workMs), known);
    }
    this.#means.clear();
    sums.forEach(({ perSecond, objects }, work) =>
      this.#means.set(work, perSecond / objects)
    );
  }

  /** The mean rate of known objects of like work. */
  expected(workMs: number): number {
    return this.#means.get(classOf(workMs)) ?? DEFAULT_PER_SECOND;
  }
}

/** Work times whose logarithms round alike, which are within a factor of two. */
function classOf(workMs: number): number {
  return Math.round(Math.log2(Math.max(1, workMs)));
}
