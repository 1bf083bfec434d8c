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
  /** The compiled parser, and its state for this connection. */
  readonly llhttp: { llhttp_get_http_major(state: number): number };
  readonly ptr: number;
  /** Names and values of the header or trailer fields so far. */
  readonly headers: readonly unknown[];
  /** Takes a part of the reason phrase; what is not 0 ends the parsing. */
  onStatus(phrase: Buffer): number;
  /** Takes a part of a field's name; what is not 0 ends the parsing. */
  onHeaderField(name: Buffer): number;
  /** Takes a header; what is negative ends the parsing. */
  onHeadersComplete(
    status: number,
    isUpgrade: boolean,
    shouldKeepAlive: boolean,
  ): number;
}

const PARSING_ENDS = -1;
const HTTP_MAJOR = 1;
const MAX_STATUS = 599;
// deno-lint-ignore no-control-regex
const CONTROL_CHARACTER = /[\x00-\x08\x0a-\x1f\x7f]/;

/**
 * Calls `onExceeded` once a header, or the trailers, on a connected socket of the client
 * have more than `maxFields` fields. undici limits only their bytes, and a field of a few
 * bytes takes some hundred as objects.
 */
export function limitHeaderFields(
  socket: Socket,
  { maxFields, onExceeded }: { maxFields: number; onExceeded: () => void },
): void {
  const parser = parserOf(socket);
  const { onHeaderField } = parser;
  parser.onHeaderField = (name) => {
    if (parser.headers.length <= 2 * maxFields) {
      return onHeaderField.call(parser, name);
    }
    onExceeded();
    return PARSING_ENDS;
  };
}

/**
 * Calls `onInvalid` for a status line on a connected socket of the client that undici takes
 * and HTTP/1 does not have, in place of handling the response.
 */
export function checkStatusLines(socket: Socket, onInvalid: () => void): void {
  const parser = parserOf(socket);
  const { onStatus, onHeadersComplete } = parser;
  const end = () => {
    onInvalid();
    return PARSING_ENDS;
  };
  parser.onStatus = (phrase) =>
    CONTROL_CHARACTER.test(phrase.toString("latin1"))
      ? end()
      : onStatus.call(parser, phrase);
  parser.onHeadersComplete = (status, ...flags) => {
    const { llhttp, ptr } = parser;
    return llhttp.llhttp_get_http_major(ptr) !== HTTP_MAJOR ||
        status > MAX_STATUS
      ? end()
      : onHeadersComplete.call(parser, status, ...flags);
  };
}

function parserOf(socket: Socket): Parser {
  return (socket as Socket & { [symbols.kParser]: Parser })[symbols.kParser];
}
