/**
 * Closes a connection so that the other side gets everything that was written.
 *
 * @module
 */

import type { Socket } from "node:net";

/** Time that the other side has to close its own, once the network has taken everything. */
const LINGER_MS = 2_000;

/**
 * Closes this side once everything has been written, and the connection when the other
 * side has closed its own. What still arrives is read: unread input would make the kernel
 * reset the connection and discard what the other side has yet to read.
 */
export function closeLingering(socket: Socket): void {
  if (!socket.writable) {
    return;
  }
  socket.end();
  socket.once("finish", () => {
    const timer = setTimeout(() => socket.destroy(), LINGER_MS);
    socket.once("close", () => clearTimeout(timer));
  });
}

/** Makes Node's HTTP server close the connection with {@link closeLingering} after its last response. */
export function lingerAfterLastResponse(socket: Socket): void {
  socket.destroySoon = () => closeLingering(socket);
}
