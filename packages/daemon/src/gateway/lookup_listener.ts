/**
 * Answers callers that ask which VMs to connect to, and the platform that asks
 * whether this VM is ready.
 *
 * @module
 */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { listen } from "../listen.ts";
import { Task } from "../task.ts";
import type { Dialect, LookupQuestion } from "./ports.ts";
import type { ListenAddress } from "./settings.ts";

/** What the listener works with. */
export interface LookupListenerOptions {
  readonly listen: readonly ListenAddress[];
  readonly dialect: Dialect;
  /** Callers' addresses of the VMs to use, and how long the answer may be kept. */
  lookup(
    question: LookupQuestion,
  ): { readonly addresses: readonly string[]; readonly ttlMs: number };
  isReady(): boolean;
}

/** See the module's comment. */
export class LookupListener extends Task<never> {
  readonly #options: LookupListenerOptions;
  readonly #servers: Server[] = [];

  constructor(options: LookupListenerOptions) {
    super("lookups");
    this.#options = options;
  }

  protected override async open(): Promise<void> {
    await Promise.all(this.#options.listen.map((address) => {
      const server = createServer((req, res) => this.#answer(req, res));
      this.#servers.push(server);
      return listen(server, address, (err) => this.fail(err));
    }));
  }

  protected override receive(): void {}

  protected override close(): void {
    for (const server of this.#servers.splice(0)) {
      server.close();
      server.closeAllConnections();
    }
  }

  #answer(req: IncomingMessage, res: ServerResponse): void {
    const { dialect } = this.#options;
    const url = req.url ?? "";
    if (dialect.isReadinessQuestion(url)) {
      res.writeHead(this.#options.isReady() ? 200 : 503, [
        "content-length",
        "0",
      ]);
      res.end();
      return;
    }
    const question = dialect.readLookup(url);
    if (question === undefined) {
      res.writeHead(404, ["content-length", "0"]);
      res.end();
      return;
    }
    const { addresses, ttlMs } = this.#options.lookup(question);
    if (addresses.length === 0) {
      res.writeHead(503, ["content-length", "0"]);
      res.end();
      return;
    }
    const body = dialect.lookupBody({ addresses, ttlMs });
    res.writeHead(200, [
      "content-type",
      "application/json",
      "content-length",
      String(Buffer.byteLength(body)),
    ]);
    res.end(body);
  }
}
