/**
 * Reads and sends JSON over HTTP, for the stand-ins.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import { Buffer } from "node:buffer";

/** Reads a complete body. */
export async function readBytes(req: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

/** Reads a complete body as JSON; an empty body reads as null. */
export async function readJson(req: IncomingMessage): Promise<unknown> {
  const bytes = await readBytes(req);
  return bytes.length === 0 ? null : JSON.parse(bytes.toString("utf8"));
}

/** Sends a response with a JSON body. */
export function sendJson(
  res: ServerResponse,
  status: number,
  body: unknown,
): void {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  res.end(text);
}
