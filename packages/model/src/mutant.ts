/**
 * Loads a copy of a core with one deliberate fault, to show that a check detects
 * it. Production code needs no switch for the fault.
 *
 * @module
 */

import { mkdtemp, readFile, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";

/** A text replacement in the source of a core. */
export interface Mutation {
  /** Text that occurs exactly once in the source. */
  readonly find: string;
  readonly replace: string;
}

/**
 * Loads the module at `path` with the mutation applied. Throws unless
 * `mutation.find` occurs exactly once: a mutation that does not apply would
 * leave a check untested.
 */
export async function loadMutant<Core>(
  path: string,
  mutation: Mutation,
): Promise<Core> {
  const source = await readFile(path, "utf8");
  const parts = source.split(mutation.find);
  if (parts.length !== 2) {
    throw new Error(
      `Cannot mutate ${path}: the text to replace occurs ${
        parts.length - 1
      } times instead of once`,
    );
  }
  const mutated = parts.join(mutation.replace);
  const folder = await mkdtemp(join(tmpdir(), "poplarthread-mutant-"));
  const copy = join(folder, "core.ts");
  await writeFile(copy, withAbsoluteImports(mutated, dirname(path)));
  return await import(/* @vite-ignore */ copy) as Core;
}

/** Makes relative imports absolute, since the copy is in another folder. */
function withAbsoluteImports(source: string, folder: string): string {
  return source.replace(
    /from "(\.{1,2}\/[^"]+)"/g,
    (_, path: string) => `from "${resolve(folder, path)}"`,
  );
}
