/**
 * Waiting for some time.
 *
 * @module
 */

/** Settles after `ms` milliseconds, or when `signal` aborts. */
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
    // The global timer, and not the one of `node:timers/promises`, which tests cannot advance.
    const timer = setTimeout(done, ms);
    signal?.addEventListener("abort", done);
  });
}
