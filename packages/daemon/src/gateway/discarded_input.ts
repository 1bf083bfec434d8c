/**
 * Discards the input of a caller's connection whose last request has been read.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
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
 * Parses no request of a connection after `request`, whose body is not kept either. Each
 * one would be kept until the responses before it are out, and one read gives thousands
 * of short ones. The server goes on reading, so that it notices the close by the other
 * side; the parser, once ended, fails each read.
 */
export function discardInput(request: IncomingMessage): void {
  const { parser } = request.socket as Socket & {
    readonly parser?: Parser | null;
  };
  if (parser) {
    parser.onIncoming = () => PARSING_ENDS;
  }
  request.resume();
}

/** Whether a server reports faulty input only because of {@link discardInput}. */
export function isDiscarded({ code }: Error & { code?: string }): boolean {
  return code === PARSING_ENDED;
}
