/// <reference path="./undici_client_module.d.ts" />
/**
 * undici's client without the rest of the package. The main module also loads fetch,
 * cache and WebSocket code, which takes about 100 ms of processor time at each start;
 * the client alone takes about 27 ms.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import type { Client as UndiciClient } from "undici";
import symbols from "undici/lib/core/symbols.js";
import ClientOnly from "undici/lib/dispatcher/client.js";

/** undici's `Client`, which keeps one connection to one origin. */
export const Client = ClientOnly;
/** Instance type of the `Client` class above. */
export type Client = UndiciClient;

/** What is used of undici's parser of a connection. */
interface Parser {
  /** Names and values of the header or trailer fields so far. */
  readonly headers: readonly unknown[];
  /** Takes a part of a field's name; what is not 0 ends the parsing. */
  onHeaderField(name: Buffer): number;
}

const PARSING_ENDS = -1;

/**
 * Calls `onExceeded` once a header, or the trailers, on a connected socket of the client
 * have more than `maxFields` fields. undici limits only their bytes, and a field of a few
 * bytes takes some hundred as objects.
 */
export function limitHeaderFields(
  socket: Socket,
  { maxFields, onExceeded }: { maxFields: number; onExceeded: () => void },
): void {
  const parser =
    (socket as Socket & { [symbols.kParser]: Parser })[symbols.kParser];
  const { onHeaderField } = parser;
  parser.onHeaderField = (name) => {
    if (parser.headers.length <= 2 * maxFields) {
      return onHeaderField.call(parser, name);
    }
    onExceeded();
    return PARSING_ENDS;
  };
}
