/**
 * Accepts the requests that other VMs forward. A task of its own, so that callers are
 * served while its port is in use.
 *
 * @module
 */

import { Task } from "../../task.ts";
import type { CallerServer, RequestHandlers } from "../caller_server.ts";
import type { ListenAddress } from "../settings.ts";

/** Options of {@link ForwardingListener}. */
export interface ForwardingListenerOptions {
  readonly listen: ListenAddress;
  readonly server: CallerServer;
  readonly handlers: RequestHandlers;
}

/** See the module comment. */
export class ForwardingListener extends Task<never> {
  readonly #options: ForwardingListenerOptions;

  constructor(options: ForwardingListenerOptions) {
    super("forwarding");
    this.#options = options;
  }

  protected override open(): Promise<void> {
    const { listen, server, handlers } = this.#options;
    return server.open(listen, handlers);
  }

  protected override receive(): void {}

  protected override close(): void {
    this.#options.server.close();
  }
}
