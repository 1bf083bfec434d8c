/** @module */

/** Runs the experiment. */
export function run(_args: readonly string[]): Promise<void> {
  return Promise.resolve();
}
