/**
 * One HTTP call that sends and receives JSON.
 *
 * @module
 */

import { type Agent, request } from "node:http";

/** The other side did not answer in time, or not in a form that can be read. */
export class JsonAnswerError extends Error {
  override readonly name = "JsonAnswerError";
}

/** A call. */
export interface JsonCall {
  readonly agent: Agent;
  readonly host: string;
  readonly port: number;
  readonly method: "GET" | "POST";
  readonly path: string;
  /** JSON text. */
  readonly body?: string;
  /** Longest wait for the whole answer, in milliseconds. */
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
}

/** An answer. */
export interface JsonAnswer {
  readonly status: number;
  /** Undefined where the status is another than 200. */
  readonly body: unknown;
}

/** Settles with the answer; rejects where there is none. */
export function callJson(call: JsonCall): Promise<JsonAnswer> {
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
    // A connection on which an answer is late may never carry one again.
    const timer = setTimeout(
      () => req.destroy(new JsonAnswerError("No answer in time")),
      timeoutMs,
    );
    const fail = (err: Error) => {
      clearTimeout(timer);
      reject(err);
    };
    req.on("error", fail);
    req.on("response", (res) => {
      const pieces: Buffer[] = [];
      res.on("data", (piece: Buffer) => pieces.push(piece));
      res.on("error", fail);
      res.on("end", () => {
        clearTimeout(timer);
        const status = res.statusCode ?? 0;
        if (status !== 200) {
          resolve({ status, body: undefined });
          return;
        }
        try {
          const text = Buffer.concat(pieces).toString("utf8");
          resolve({ status, body: JSON.parse(text) });
        } catch {
          reject(new JsonAnswerError("The answer is not JSON"));
        }
      });
    });
    req.end(body);
  });
}
