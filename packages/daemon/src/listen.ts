/**
 * Binds servers and sockets to addresses.
 *
 * @module
 */

import type { Socket } from "node:dgram";
import type { ListenOptions, Server } from "node:net";
import { ResourceError } from "./errors.ts";

/**
 * Resolves when `server` listens on `address`; rejects with a {@link ResourceError} if
 * it cannot bind to it. Later errors go to `onError`: without an error handler, the first
 * one would end the process.
 */
export function listen(
  server: Server,
  address: ListenOptions,
  onError: (err: ResourceError) => void,
): Promise<void> {
  return new Promise((resolve, reject) => {
    const rejectWith = (err: Error) => reject(resourceError(err));
    server.once("error", rejectWith);
    server.listen(address, () => {
      server.off("error", rejectWith);
      server.on("error", (err) => onError(resourceError(err)));
      resolve();
    });
  });
}

/** The same for a socket for datagrams; also resolves when the socket is closed before it is bound. */
export function bind(
  socket: Socket,
  { host, port }: { readonly host: string; readonly port: number },
  onError: (err: ResourceError) => void,
): Promise<void> {
  return new Promise((resolve, reject) => {
    const rejectWith = (err: Error) => reject(resourceError(err));
    socket.once("close", resolve);
    socket.once("error", rejectWith);
    socket.bind(port, host, () => {
      socket.off("error", rejectWith);
      socket.on("error", (err) => onError(resourceError(err)));
      resolve();
    });
  });
}

function resourceError(err: Error): ResourceError {
  return new ResourceError(err.message, { cause: err });
}
