/**
 * Calls to stand-ins: JSON over HTTP.
 *
 * @module
 */

import { request } from "undici";

/** Calls a stand-in; throws where it doesn't answer with 200. */
export async function call(
  url: string,
  method: "GET" | "PUT" | "POST" | "DELETE",
  body?: unknown,
): Promise<unknown> {
  const res = await request(url, {
    method,
    body: body === undefined ? null : JSON.stringify(body),
  });
  const answer = await res.body.json();
  if (res.statusCode !== 200) {
    throw new Error(`Cannot call ${url}: status ${res.statusCode}`);
  }
  return answer;
}
