/**
 * Who an operator is: the tokens file, and the check of a request's token.
 *
 * @module
 */

import { createHash, timingSafeEqual } from "node:crypto";
import type { Buffer } from "node:buffer";

/** The tokens file does not hold what it should. */
export class TokensError extends Error {
  override readonly name = "TokensError";
}

const MIN_TOKEN_LENGTH = 8;
const BEARER = "Bearer ";

/** Knows the operators by digests of their tokens. */
export class OperatorTokens {
  readonly #digests: ReadonlyMap<string, Buffer>;

  /** Reads the text of the tokens file: a JSON object of operator name to token. */
  constructor(text: string) {
    this.#digests = new Map(
      parseTokens(text).map(([name, token]) => [name, digest(token)]),
    );
  }

  /** The operator whose token the header carries; undefined where none is. */
  identify(authorization: string | undefined): string | undefined {
    if (!authorization?.startsWith(BEARER)) {
      return undefined;
    }
    const given = digest(authorization.slice(BEARER.length));
    let who: string | undefined;
    // Every digest is compared, each in constant time: how long a refusal
    // takes must tell nothing about how near a guess came.
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
      "Cannot read the operators' tokens: expected an object of name to token",
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
