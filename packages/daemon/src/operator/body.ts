/**
 * Reads bodies of operators' requests as JSON, up to a size limit.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { Buffer } from "node:buffer";
import { HttpError } from "./http_error.ts";

/** Largest request body; a preset of 450 sites is far smaller. */
export const MAX_BODY_BYTES = 4 * 1024 * 1024;

/** Reads the complete body as JSON; throws {@link HttpError} if it is too large or not JSON. */
export async function readBody(req: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of req) {
    size += chunk.length;
    if (size > MAX_BODY_BYTES) {
      throw new HttpError(
        413,
        `the body is larger than ${MAX_BODY_BYTES} bytes`,
      );
    }
    chunks.push(chunk);
  }
  try {
    return JSON.parse(Buffer.concat(chunks).toString("utf8"));
  } catch {
    throw new HttpError(400, "the body is not JSON");
  }
}
