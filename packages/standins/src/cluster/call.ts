/**
 * Calls to stand-in processes with JSON over HTTP.
 *
 * @module
 */

import { request } from "undici";

/** Calls a stand-in and returns the response body; throws unless the status is 200. */
export async function call(
  url: string,
  method: "GET" | "PUT" | "POST" | "DELETE",
  body?: unknown,
): Promise<unknown> {
  const res = await request(url, {
    method,
    body: body === undefined ? null : JSON.stringify(body),
  });
  const responseBody = await res.body.json();
  if (res.statusCode !== 200) {
    throw new Error(`Cannot call ${url}: status ${res.statusCode}`);
  }
  return responseBody;
}
