/**
 * Discards the input of a caller's connection whose last request has been read.
 *
 * @module
 */

import type { Socket } from "node:net";

/** What is used of Node's parser of a connection. */
interface Parser {
  /** Takes a request's header; what is negative ends the parsing. */
  onIncoming: () => number;
}

const PARSING_ENDS = -1;
/** Code of the error that Node then reports. */
const PARSING_ENDED = "HPE_CB_HEADERS_COMPLETE";

/**
 * Parses no more requests of a connection of an HTTP server. Each one would be kept until
 * the responses before it are out, and one read gives thousands of short ones. The input
 * itself is read, so that the close by the other side is noticed.
 */
export function discardInput(socket: Socket): void {
  const { parser } = socket as Socket & { readonly parser?: Parser | null };
  if (parser) {
    parser.onIncoming = () => PARSING_ENDS;
  }
  socket.removeAllListeners("data");
  socket.on("data", () => undefined);
}

/** Whether a server reports faulty input only because of {@link discardInput}. */
export function isDiscarded({ code }: Error & { code?: string }): boolean {
  return code === PARSING_ENDED;
}
