/**
 * A timed wait that can be cut short.
 *
 * @module
 */

/** Resolves after `ms` milliseconds, or as soon as `signal` is aborted. */
export function pause(ms: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) {
      resolve();
      return;
    }
    const done = () => {
      clearTimeout(timer);
      signal?.removeEventListener("abort", done);
      resolve();
    };
    // The global timer: fake timers in tests cannot advance the one of `node:timers/promises`.
    const timer = setTimeout(done, ms);
    signal?.addEventListener("abort", done);
  });
}
