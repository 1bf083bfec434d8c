/**
 * The experiment `coordination`.
 *
 * @module
 */

/** Runs the experiment with its own arguments. */
export function run(_args: readonly string[]): Promise<void> {
  throw new Error("Cannot run the experiment coordination: not built yet");
}
