/**
 * Objects in use, up to a number of them. Those that were asked for once only are the
 * first to go.
 *
 * It answers callers that name a new object in each request: what is kept for objects
 * would otherwise grow with the rate of their requests.
 *
 * @module
 */

/**
 * Objects of one service that an owner keeps. Each takes up half a kilobyte; caches of
 * a thousand targets hold fewer.
 */
export const MAX_OWNED_OBJECTS = 8_000;
/** Objects of one service that a VM knows: the owner's, and others that have no homes. */
export const MAX_KNOWN_OBJECTS = 2 * MAX_OWNED_OBJECTS;

/** See the module comment. */
export class BoundedObjects<T> {
  readonly #max: number;
  readonly #objects = new Map<number, T>();
  /** Objects asked for once, the earliest first. */
  readonly #askedOnce = new Set<number>();

  constructor(max: number) {
    this.#max = max;
  }

  get size(): number {
    return this.#objects.size;
  }

  get(object: number): T | undefined {
    return this.#objects.get(object);
  }

  values(): Iterable<T> {
    return this.#objects.values();
  }

  entries(): Iterable<[number, T]> {
    return this.#objects.entries();
  }

  /**
   * Makes room for one more object; `dropped` was asked for once. There may be none
   * to drop.
   */
  makeRoom(): { readonly hasRoom: boolean; readonly dropped?: T | undefined } {
    if (this.#objects.size < this.#max) {
      return { hasRoom: true };
    }
    for (const object of this.#askedOnce) {
      const dropped = this.#objects.get(object);
      this.delete(object);
      return { hasRoom: true, dropped };
    }
    return { hasRoom: false };
  }

  /** Adds an object that was asked for once; there must be room for it. */
  add(object: number, value: T): void {
    this.#objects.set(object, value);
    this.#askedOnce.add(object);
  }

  /** An object was asked for again, so that it is kept while it is in use. */
  keep(object: number): void {
    this.#askedOnce.delete(object);
  }

  delete(object: number): void {
    this.#objects.delete(object);
    this.#askedOnce.delete(object);
  }
}
