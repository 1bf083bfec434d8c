/**
 * Binds a server to an address.
 *
 * @module
 */

import type { ListenOptions, Server } from "node:net";

/**
 * Resolves when `server` listens on `address`; rejects if it cannot bind to it.
 * Later errors go to `onError`: without an error handler, the first one would end
 * the process.
 */
export function listen(
  server: Server,
  address: ListenOptions,
  onError: (err: Error) => void,
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(address, () => {
      server.off("error", reject);
      server.on("error", onError);
      resolve();
    });
  });
}
