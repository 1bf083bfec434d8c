/**
 * The HTTP server for callers' look-ups of the VMs to connect to, and for the
 * platform's readiness checks of this VM.
 *
 * @module
 */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createBoundedServer } from "../http/bounded_pipelining.ts";
import { listen } from "../listen.ts";
import { Task } from "../task.ts";
import type { Dialect, LookupRequest } from "./ports.ts";
import type { ListenAddress } from "./settings.ts";

/** Options of the listener. */
export interface LookupListenerOptions {
  readonly listen: readonly ListenAddress[];
  /** Most open connections to each address. */
  readonly connections: number;
  readonly dialect: Dialect;
  /** Returns the caller addresses of the VMs to use, and how long the response may be cached. */
  lookup(
    query: LookupRequest,
  ): { readonly addresses: readonly string[]; readonly ttlMs: number };
  /** Whether this VM is ready to serve callers. */
  isReady(): boolean;
}

/** The task that runs the look-up servers. */
export class LookupListener extends Task<never> {
  readonly #options: LookupListenerOptions;
  readonly #servers: Server[] = [];

  constructor(options: LookupListenerOptions) {
    super("lookups");
    this.#options = options;
  }

  protected override async open(): Promise<void> {
    for (const address of this.#options.listen) {
      const server = createBoundedServer(
        (req, res) => this.#handleRequest(req, res),
        { connections: this.#options.connections },
      );
      this.#servers.push(server);
      await listen(server, address, (err) => this.fail(err));
    }
  }

  protected override receive(): void {}

  protected override close(): void {
    for (const server of this.#servers.splice(0)) {
      server.close();
      server.closeAllConnections();
    }
  }

  #handleRequest(req: IncomingMessage, res: ServerResponse): void {
    const { dialect } = this.#options;
    const url = req.url ?? "";
    if (dialect.isReadinessRequest(url)) {
      res.writeHead(this.#options.isReady() ? 200 : 503, [
        "content-length",
        "0",
      ]);
      res.end();
      return;
    }
    const query = dialect.readLookup(url);
    if (query === undefined) {
      res.writeHead(404, ["content-length", "0"]);
      res.end();
      return;
    }
    const { addresses, ttlMs } = this.#options.lookup(query);
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
