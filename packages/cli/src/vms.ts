/**
 * The VMs that a command may ask: the first that answers does.
 *
 * @module
 */

import { OperatorApiError, OperatorClient } from "@poplarthread/operator-api";
import { CommandError, ExitCode } from "./exit_code.ts";

/** Which VMs to ask, and how. */
export interface VmsOptions {
  readonly urls: readonly string[];
  readonly token: string;
  readonly timeoutMs: number;
}

/** Asks VMs in turn until one answers. */
export class Vms {
  readonly #clients: readonly OperatorClient[];

  constructor({ urls, token, timeoutMs }: VmsOptions) {
    this.#clients = urls.map((url) =>
      new OperatorClient({ url, token, timeoutMs })
    );
  }

  /**
   * The answer of the first VM that gives one. Safe for changes too: their
   * operation id makes a second try find the first one's outcome.
   */
  async ask<T>(call: (client: OperatorClient) => Promise<T>): Promise<T> {
    let last: OperatorApiError | undefined;
    for (const client of this.#clients) {
      try {
        return await call(client);
      } catch (err) {
        if (!(err instanceof OperatorApiError) || !isWorthAnotherVm(err)) {
          throw err;
        }
        last = err;
      }
    }
    throw last ??
      new CommandError(
        ExitCode.usage,
        "Cannot ask any VM: name one with --vm or POPLARTHREAD_VMS",
      );
  }

  async close(): Promise<void> {
    await Promise.all(this.#clients.map((client) => client.close()));
  }
}

/** Out of reach, or in trouble of its own: another VM may do better. */
function isWorthAnotherVm(err: OperatorApiError): boolean {
  return err.status === 0 || err.status >= 500;
}
