/**
 * The experiment `path`.
 *
 * @module
 */

/** Runs the experiment with its own arguments. */
export function run(_args: readonly string[]): Promise<void> {
  throw new Error("Cannot run the experiment path: not built yet");
}
