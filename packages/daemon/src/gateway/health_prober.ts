/**
 * Asks targets that were taken out whether they are back.
 *
 * Each question takes a new connection: the old ones may be what is broken.
 *
 * @module
 */

import type { Dispatcher } from "undici";
import { ProbeTimeoutError } from "../errors.ts";
import type { Connections, ConnectionTarget } from "./connections.ts";
import type { Dialect, HealthAnswer } from "./ports.ts";

/** Longest wait for the answer beyond two round trips, in milliseconds; a question waits for a slot like any request. */
const ANSWER_MS = 900;

/** What the prober works with. */
export interface HealthProberOptions {
  readonly connections: Connections;
  readonly dialect: Dialect;
}

/** See the module's comment. */
export class HealthProber {
  readonly #options: HealthProberOptions;

  constructor(options: HealthProberOptions) {
    this.#options = options;
  }

  /** Asks one target; rejects where it does not answer. */
  probe(target: ConnectionTarget, path: string): Promise<HealthAnswer> {
    const { connections, dialect } = this.#options;
    const connection = connections.fresh(target);
    return new Promise<HealthAnswer>((resolve, reject) => {
      const timer = setTimeout(
        () => reject(new ProbeTimeoutError("No answer in time")),
        ANSWER_MS + 2 * target.roundTripMs,
      );
      const handler: Dispatcher.DispatchHandler = {
        onConnect: () => undefined,
        onHeaders: (status, raw) => {
          clearTimeout(timer);
          resolve(dialect.readHealth(status, raw));
          return true;
        },
        onData: () => true,
        onComplete: () => connections.giveBack(connection),
        onError: (err) => {
          clearTimeout(timer);
          reject(err);
        },
      };
      connection.dispatch({ method: "GET", path }, handler);
    }).catch((err) => {
      connections.drop(connection);
      throw err;
    });
  }
}
