/**
 * Authenticates operators: reads the tokens file and checks the tokens of
 * requests.
 *
 * @module
 */

import { createHash, timingSafeEqual } from "node:crypto";
import type { Buffer } from "node:buffer";

/** The tokens file is malformed. */
export class TokensError extends Error {
  override readonly name = "TokensError";
}

const MIN_TOKEN_LENGTH = 8;
const BEARER = "Bearer ";

/** Maps digests of tokens to operators. */
export class OperatorTokens {
  readonly #digests: ReadonlyMap<string, Buffer>;

  /** Parses the text of the tokens file: a JSON object that maps operator names to tokens. */
  constructor(text: string) {
    this.#digests = new Map(
      parseTokens(text).map(([name, token]) => [name, digest(token)]),
    );
  }

  /** Returns the operator whose token the header carries; undefined if none matches. */
  identify(authorization: string | undefined): string | undefined {
    if (!authorization?.startsWith(BEARER)) {
      return undefined;
    }
    const given = digest(authorization.slice(BEARER.length));
    let who: string | undefined;
    // Every digest is compared, each in constant time, so that response times
    // reveal nothing about how close a guess is.
    for (const [name, known] of this.#digests) {
      if (timingSafeEqual(given, known)) {
        who = name;
      }
    }
    return who;
  }
}

function parseTokens(text: string): readonly [string, string][] {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    // The parser's message may quote the text, and the text holds secrets.
    throw new TokensError("Cannot read the operators' tokens: not JSON");
  }
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    throw new TokensError(
      "Cannot read the operators' tokens: expected an object that maps names to tokens",
    );
  }
  return Object.entries(value).map(([name, token]) => {
    if (typeof token !== "string" || token.length < MIN_TOKEN_LENGTH) {
      throw new TokensError(
        `Cannot read the operators' tokens: "${name}" needs a token of at least ${MIN_TOKEN_LENGTH} characters`,
      );
    }
    return [name, token];
  });
}

function digest(token: string): Buffer {
  return createHash("sha256").update(token).digest();
}
