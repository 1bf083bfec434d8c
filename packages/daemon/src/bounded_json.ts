/**
 * Parses JSON from others: a text of some megabytes can stand for objects that fill the
 * heap.
 *
 * @module
 */

import type { Buffer } from "node:buffer";

/** Most lists, objects, strings and commas of a text: several times those of all rows of a subject. */
const MAX_TOKENS = 250_000;

const QUOTE = '"'.charCodeAt(0);
const BACKSLASH = "\\".charCodeAt(0);
const COMMA = ",".charCodeAt(0);
const LIST = "[".charCodeAt(0);
const OBJECT = "{".charCodeAt(0);

/** The text stands for more values than any sound one. */
export class JsonTooComplexError extends Error {
  override readonly name = "JsonTooComplexError";

  constructor() {
    super("The JSON has too many values");
  }
}

/** Parses JSON text; throws a {@link JsonTooComplexError} if it has too many values, and a `SyntaxError` if it is none. */
export function parseJson(text: Buffer): unknown {
  if (hasTooManyTokens(text)) {
    throw new JsonTooComplexError();
  }
  return JSON.parse(text.toString("utf8"));
}

function hasTooManyTokens(text: Buffer): boolean {
  if (text.length <= MAX_TOKENS) {
    return false;
  }
  let tokens = 0;
  let isInString = false;
  for (let at = 0; at < text.length && tokens <= MAX_TOKENS; at++) {
    switch (text[at]) {
      case BACKSLASH:
        at += 1;
        break;
      case QUOTE:
        isInString = !isInString;
        tokens += isInString ? 1 : 0;
        break;
      case COMMA:
      case LIST:
      case OBJECT:
        tokens += isInString ? 0 : 1;
    }
  }
  return tokens > MAX_TOKENS;
}
