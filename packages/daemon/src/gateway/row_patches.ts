/**
 * Patches of large rows on their way between VMs.
 *
 * @module
 */

import { JsonCallError } from "../json_exchange.ts";
import type { StoredRow } from "./ports.ts";
import type { RelayRequest, RelayResponse } from "./relay.ts";
import { MIN_LARGE_BYTES, type RowCopy } from "./row_copy.ts";
import { diffValues, patchValue, type ValuePatch } from "./value_patch.ts";

/** A patch that saves less than this share of a value is not worth its time. */
const MIN_SAVED_SHARE = 0.9;

/** Patches of the rows that dozens of VMs request. */
export class RowPatches {
  readonly #copy: RowCopy;
  /** Patches by key, version and base; undefined if they save too little. Cleared when rows change. */
  readonly #cache = new Map<string, ValuePatch | undefined>();

  constructor(copy: RowCopy) {
    this.#copy = copy;
  }

  /** Rows have changed. */
  clear(): void {
    this.#cache.clear();
  }

  /** Patches of the large ones of `rows`; undefined unless there is one for each. */
  for(
    rows: readonly StoredRow[],
    { bases = {} }: Pick<RelayRequest, "bases">,
  ): RelayResponse["patches"] {
    const large = rows
      .filter(({ value }) => (value?.length ?? 0) >= MIN_LARGE_BYTES);
    const patches = large.flatMap((row) => {
      const patch = this.#patch(row, bases[row.key]);
      return patch === undefined ? [] : [[row.key, patch] as const];
    });
    return large.length > 0 && patches.length === large.length
      ? new Map(patches)
      : undefined;
  }

  /** The rows of a response with their values; throws a {@link JsonCallError} if a base is not known. */
  resolve({ rows, patches }: RelayResponse): readonly StoredRow[] {
    return patches === undefined ? rows : rows.map((row) => {
      const patch = patches.get(row.key);
      return patch === undefined
        ? row
        : { ...row, value: this.#patched(row.key, patch) };
    });
  }

  #patch(
    { key, version, value }: StoredRow,
    baseVersion: number | undefined,
  ): ValuePatch | undefined {
    const base = baseVersion === undefined
      ? undefined
      : this.#copy.largeValue(key, baseVersion);
    if (base === undefined || value === undefined) {
      return undefined;
    }
    const id = `${key} ${version} ${base.version}`;
    if (!this.#cache.has(id)) {
      const patch = diffValues(base, value);
      const isSmall = JSON.stringify(patch).length <
        value.length * (1 - MIN_SAVED_SHARE);
      this.#cache.set(id, isSmall ? patch : undefined);
    }
    return this.#cache.get(id);
  }

  #patched(key: string, patch: ValuePatch): Buffer {
    const base = this.#copy.largeValue(key, patch.base);
    if (base === undefined) {
      throw new JsonCallError("A patched row is no longer known");
    }
    return patchValue(base.value, patch);
  }
}
