/**
 * One HTTP call that sends and receives JSON.
 *
 * @module
 */

import { type Agent, type IncomingHttpHeaders, request } from "node:http";

/** The call timed out, or its response cannot be used. */
export class JsonCallError extends Error {
  override readonly name = "JsonCallError";
}

/** A request and where to send it. */
export interface JsonCall {
  readonly agent: Agent;
  readonly host: string;
  readonly port: number;
  readonly method: "GET" | "POST";
  readonly path: string;
  /** The request body, as JSON text; none if left out. */
  readonly body?: string;
  /** Longest wait for the complete response. */
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
}

/** A response. */
export interface JsonResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** The parsed JSON; undefined unless the status is 200. */
  readonly body: unknown;
}

/** Resolves with the response; rejects if there is none, or if a status of 200 comes without JSON. */
export function callJson(call: JsonCall): Promise<JsonResponse> {
  return new Promise((resolve, reject) => {
    const { agent, host, port, method, path, body, timeoutMs, signal } = call;
    const req = request({
      host,
      port,
      agent,
      method,
      path,
      ...(signal === undefined ? {} : { signal }),
      headers: body === undefined ? {} : {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
      },
    });
    // Closes the connection as well: one with a late response may never carry another.
    const timer = setTimeout(
      () =>
        req.destroy(
          new JsonCallError("Timed out waiting for the JSON response"),
        ),
      timeoutMs,
    );
    const fail = (err: Error) => {
      clearTimeout(timer);
      reject(err);
    };
    req.on("error", fail);
    req.on("response", (res) => {
      const chunks: Buffer[] = [];
      res.on("data", (chunk: Buffer) => chunks.push(chunk));
      res.on("error", fail);
      res.on("end", () => {
        clearTimeout(timer);
        const { statusCode: status = 0, headers } = res;
        if (status !== 200) {
          resolve({ status, headers, body: undefined });
          return;
        }
        try {
          const text = Buffer.concat(chunks).toString("utf8");
          resolve({ status, headers, body: JSON.parse(text) });
        } catch {
          reject(new JsonCallError("The response body is not JSON"));
        }
      });
    });
    req.end(body);
  });
}
