/**
 * Binds a listener.
 *
 * @module
 */

import type { ListenOptions, Server } from "node:net";

/**
 * Settles when `server` listens at `address`; rejects where it cannot bind it.
 * Later errors go to `failed`: without a listener the first one would end the
 * process.
 */
export function listen(
  server: Server,
  address: ListenOptions,
  failed: (err: Error) => void,
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(address, () => {
      server.off("error", reject);
      server.on("error", failed);
      resolve();
    });
  });
}
