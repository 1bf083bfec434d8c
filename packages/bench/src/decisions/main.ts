/**
 * The experiment `decisions`.
 *
 * @module
 */

/** Runs the experiment with its own arguments. */
export function run(_args: readonly string[]): Promise<void> {
  throw new Error("Cannot run the experiment decisions: not built yet");
}
