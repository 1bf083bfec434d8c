/**
 * Short exact names for plain JSON values.
 *
 * @module
 */

/**
 * Gives equal values the same short name. States share most of their parts, and
 * each part is spelled out only once; without it, spelling whole states takes
 * most of an exploration's time.
 */
export class Interner {
  readonly #known = new WeakMap<object, string>();
  readonly #names = new Map<string, string>();

  /** The name of a value; two values have one name exactly when they are equal. */
  nameOf(value: unknown): string {
    if (typeof value !== "object" || value === null) {
      return JSON.stringify(value);
    }
    const known = this.#known.get(value);
    if (known !== undefined) {
      return known;
    }
    const spelling = this.#spell(value);
    const name = this.#names.get(spelling) ?? `#${this.#names.size}`;
    this.#names.set(spelling, name);
    this.#known.set(value, name);
    return name;
  }

  #spell(value: object): string {
    if (Array.isArray(value)) {
      return `[${value.map((item) => this.nameOf(item)).join()}]`;
    }
    const fields = Object.entries(value)
      .filter(([, item]) => item !== undefined)
      .map(([key, item]) => `${JSON.stringify(key)}:${this.nameOf(item)}`);
    return `{${fields.join()}}`;
  }
}
