/**
 * Short unique ids for plain JSON values.
 *
 * @module
 */

/**
 * Assigns equal values the same short id. States share most of their parts, and
 * each part is serialized only once; serializing complete states would take
 * most of an exploration's time.
 */
export class Interner {
  readonly #idsByObject = new WeakMap<object, string>();
  readonly #idsByEncoding = new Map<string, string>();

  /** The id of a value; two values have the same id exactly if they are equal. */
  idOf(value: unknown): string {
    if (typeof value !== "object" || value === null) {
      return JSON.stringify(value);
    }
    const known = this.#idsByObject.get(value);
    if (known !== undefined) {
      return known;
    }
    const encoding = this.#encode(value);
    const id = this.#idsByEncoding.get(encoding) ??
      `#${this.#idsByEncoding.size}`;
    this.#idsByEncoding.set(encoding, id);
    this.#idsByObject.set(value, id);
    return id;
  }

  #encode(value: object): string {
    if (Array.isArray(value)) {
      return `[${value.map((item) => this.idOf(item)).join()}]`;
    }
    const fields = Object.entries(value)
      .filter(([, item]) => item !== undefined)
      .map(([key, item]) => `${JSON.stringify(key)}:${this.idOf(item)}`);
    return `{${fields.join()}}`;
  }
}
