/**
 * Clients of the VMs that a command may call; the first VM that responds is used.
 *
 * @module
 */

import { OperatorApiError, OperatorClient } from "@poplarthread/operator-api";
import { CommandError, ExitCode } from "./exit_code.ts";

/** Addresses of the VMs, the operator's token and the timeout of calls. */
export interface VmClientsOptions {
  readonly urls: readonly string[];
  readonly token: string;
  readonly timeoutMs: number;
}

/** Calls VMs in order until one responds. */
export class VmClients {
  readonly #clients: readonly OperatorClient[];

  constructor({ urls, token, timeoutMs }: VmClientsOptions) {
    this.#clients = urls.map((url) =>
      new OperatorClient({ url, token, timeoutMs })
    );
  }

  /**
   * Returns the response of the first VM that sends one. Also safe for changes: with
   * the same operation id, a second attempt gets the outcome of the first.
   */
  async call<T>(send: (client: OperatorClient) => Promise<T>): Promise<T> {
    let lastError: OperatorApiError | undefined;
    for (const client of this.#clients) {
      try {
        return await send(client);
      } catch (err) {
        if (!(err instanceof OperatorApiError) || !isVmFailure(err)) {
          throw err;
        }
        lastError = err;
      }
    }
    throw lastError ??
      new CommandError(
        ExitCode.usage,
        "Cannot call a VM: set at least one address with --vm or POPLARTHREAD_VMS",
      );
  }

  async close(): Promise<void> {
    await Promise.all(this.#clients.map((client) => client.close()));
  }
}

/** Whether the VM is unreachable or failed internally, so that another VM may succeed. */
function isVmFailure(err: OperatorApiError): boolean {
  return err.status === 0 || err.status >= 500;
}
