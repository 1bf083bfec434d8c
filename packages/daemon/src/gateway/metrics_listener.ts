/**
 * Serves the metrics over HTTP.
 *
 * @module
 */

import type { Server } from "node:http";
import { messageOf } from "../errors.ts";
import { createBoundedServer } from "../http/bounded_pipelining.ts";
import { listen } from "../listen.ts";
import { Task } from "../task.ts";
import type { ListenAddress } from "./settings.ts";

/** The default path of Prometheus. */
const METRICS_PATH = "/metrics";

/** See the module's comment. */
export class MetricsListener extends Task<never> {
  readonly #listen: ListenAddress;
  readonly #text: () => Promise<string>;
  #server: Server | undefined;

  constructor(options: { listen: ListenAddress; text: () => Promise<string> }) {
    super("metrics");
    this.#listen = options.listen;
    this.#text = options.text;
  }

  protected override open(): Promise<void> {
    const server = createBoundedServer((req, res) => {
      if (req.url !== METRICS_PATH) {
        res.writeHead(404).end();
        return;
      }
      this.#text().then(
        (text) =>
          res.writeHead(200, { "content-type": "text/plain" }).end(text),
        (err) => res.writeHead(500).end(messageOf(err)),
      );
    });
    this.#server = server;
    return listen(server, this.#listen, (err) => this.fail(err));
  }

  protected override receive(): void {}

  protected override close(): void {
    this.#server?.close();
    this.#server?.closeAllConnections();
    this.#server = undefined;
  }
}
