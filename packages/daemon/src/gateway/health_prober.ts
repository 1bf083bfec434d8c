/**
 * Probes targets that were taken out of use, to find out whether they are healthy
 * again.
 *
 * Each of these probes uses a new connection, because the existing ones may be
 * broken. Probes of targets in use keep a connection open instead.
 *
 * @module
 */

import type { Dispatcher } from "undici";
import { InvalidResponseError, ProbeTimeoutError } from "../errors.ts";
import type { Connection, ConnectionTarget } from "./connection.ts";
import type { Connections } from "./connections.ts";
import type { Dialect, HealthResponse } from "./ports.ts";

/** Response timeout of a probe beyond two round trips. A probe waits for a slot of the target like any request. */
const RESPONSE_TIMEOUT_MS = 900;

/** Longest body of a response: what follows is not read. */
const MAX_BODY_BYTES = 65_536;

/** Options of the prober. */
export interface HealthProberOptions {
  readonly connections: Connections;
  readonly dialect: Dialect;
}

/** Sends health probes; see the module comment. */
export class HealthProber {
  readonly #options: HealthProberOptions;

  constructor(options: HealthProberOptions) {
    this.#options = options;
  }

  /** Probes one target on a new connection; rejects if it does not respond. */
  probe(target: ConnectionTarget, path: string): Promise<HealthResponse> {
    const connection = this.#options.connections.create(target);
    return this.#probe(connection, target, path);
  }

  /** Probes one target on an idle connection, if there is one, so that it stays open. */
  refresh(target: ConnectionTarget, path: string): Promise<HealthResponse> {
    const connection = this.#options.connections.take(target);
    return this.#probe(connection, target, path);
  }

  #probe(
    connection: Connection,
    target: ConnectionTarget,
    path: string,
  ): Promise<HealthResponse> {
    const { connections, dialect } = this.#options;
    return new Promise<HealthResponse>((resolve, reject) => {
      let bodyBytes = 0;
      const fail = (err: Error) => {
        clearTimeout(timer);
        connections.drop(connection);
        reject(err);
      };
      const timer = setTimeout(
        () => fail(new ProbeTimeoutError("health probe timed out")),
        RESPONSE_TIMEOUT_MS + 2 * target.roundTripMs,
      );
      const handler: Dispatcher.DispatchHandler = {
        onConnect: () => undefined,
        onHeaders: (status, raw) => {
          const response = dialect.readHealthResponse(status, raw);
          if (response.requestId !== undefined) {
            // The one to the check is yet to come: no request may get it.
            fail(new InvalidResponseError("response to another request"));
            return false;
          }
          resolve(response);
          return true;
        },
        onData: (chunk) => {
          bodyBytes += chunk.length;
          if (bodyBytes > MAX_BODY_BYTES) {
            fail(new InvalidResponseError("the body is too long"));
          }
          return true;
        },
        onComplete: () => {
          clearTimeout(timer);
          connections.release(connection);
        },
        onError: fail,
      };
      connection.dispatch({ method: "GET", path }, handler);
    });
  }
}
