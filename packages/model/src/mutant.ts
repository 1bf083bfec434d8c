/**
 * Loads a copy of a core with one deliberate fault, to show that a check can
 * fail. Production code carries no switch for it.
 *
 * @module
 */

import { mkdtemp, readFile, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";

/** One replacement in the source of a core. */
export interface Mutation {
  /** Text that occurs exactly once. */
  readonly find: string;
  readonly replace: string;
}

/**
 * The module at `path`, mutated. Throws unless the text occurs exactly once:
 * a mutation that no longer applies would leave a check untested.
 */
export async function loadMutant<Core>(
  path: string,
  mutation: Mutation,
): Promise<Core> {
  const source = await readFile(path, "utf8");
  const parts = source.split(mutation.find);
  if (parts.length !== 2) {
    throw new Error(
      `Cannot mutate ${path}: the text occurs ${parts.length - 1} times`,
    );
  }
  const mutated = parts.join(mutation.replace);
  const folder = await mkdtemp(join(tmpdir(), "poplarthread-mutant-"));
  const copy = join(folder, "core.ts");
  await writeFile(copy, withAbsoluteImports(mutated, dirname(path)));
  return await import(/* @vite-ignore */ copy) as Core;
}

/** The copy lies elsewhere, so its neighbours are named in full. */
function withAbsoluteImports(source: string, folder: string): string {
  return source.replace(
    /from "(\.{1,2}\/[^"]+)"/g,
    (_, path: string) => `from "${resolve(folder, path)}"`,
  );
}
