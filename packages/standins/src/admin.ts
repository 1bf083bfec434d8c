/**
 * What every stand-in process has in common: an administration listener on a
 * port of its own choosing, one line on standard output that says where, and
 * an end when the process that started it is gone.
 *
 * @module
 */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import process from "node:process";
import { readJson, sendJson } from "./http_json.ts";

/** Answers one call of the administration listener; undefined answers 404. */
export type AdminHandler = (
  operation: string,
  body: unknown,
) => Promise<unknown> | unknown;

/** The line that a stand-in process prints once it serves. */
export interface ReadyLine {
  /** `http://host:port` of the administration listener. */
  readonly admin: string;
}

/** Serves `handler`, prints the {@link ReadyLine}, and ends with its parent. */
export async function serveAdmin(handler: AdminHandler): Promise<void> {
  exitWithParent();
  const server = createServer((req, res) => {
    answer(handler, req, res).catch((err) =>
      sendJson(res, 500, { message: String(err) })
    );
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const line: ReadyLine = { admin: `http://127.0.0.1:${port}` };
  console.log(JSON.stringify(line));
}

async function answer(
  handler: AdminHandler,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const body = await readJson(req);
  const value = await handler(req.url!.slice(1), body);
  sendJson(res, value === undefined ? 404 : 200, value ?? {});
}

/**
 * Ends the process when its standard input ends. The parent holds the other
 * end: were it killed without a chance to clean up, its stand-ins would
 * otherwise stay behind and hold their addresses.
 */
function exitWithParent(): void {
  process.stdin.once("end", () => process.exit(0));
  process.stdin.once("error", () => process.exit(0));
  process.stdin.resume();
}

/** The settings of a stand-in process: JSON, as its only argument. */
export function processOptions<T>(): T {
  return JSON.parse(process.argv[2] ?? "{}") as T;
}
