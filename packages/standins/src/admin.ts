/**
 * Common parts of every stand-in process: an administration listener on a free
 * port, one line on standard output with its address, and an exit when the
 * parent process ends.
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

/** Handles one call to the administration listener; undefined results in a 404. */
export type AdminHandler = (
  operation: string,
  body: unknown,
) => Promise<unknown> | unknown;

/** The line that a stand-in process prints when it is ready. */
export interface ReadyLine {
  /** `http://host:port` of the administration listener. */
  readonly admin: string;
}

/** Serves `handler`, prints the {@link ReadyLine} and exits with its parent process. */
export async function serveAdmin(handler: AdminHandler): Promise<void> {
  exitWithParent();
  const server = createServer((req, res) => {
    handleRequest(handler, req, res).catch((err) =>
      sendJson(res, 500, { message: String(err) })
    );
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const readyLine: ReadyLine = { admin: `http://127.0.0.1:${port}` };
  console.log(JSON.stringify(readyLine));
}

async function handleRequest(
  handler: AdminHandler,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const body = await readJson(req);
  const value = await handler(req.url!.slice(1), body);
  sendJson(res, value === undefined ? 404 : 200, value ?? {});
}

/**
 * Exits when standard input ends. The parent process holds the other end of the
 * pipe, so a stand-in exits and frees its address even if its parent was killed
 * and could not clean up.
 */
function exitWithParent(): void {
  process.stdin.once("end", () => process.exit(0));
  process.stdin.once("error", () => process.exit(0));
  process.stdin.resume();
}

/** Reads the options of a stand-in process: JSON in its only argument. */
export function processOptions<T>(): T {
  return JSON.parse(process.argv[2] ?? "{}") as T;
}
