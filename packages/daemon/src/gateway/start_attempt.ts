/**
 * Starts an attempt: sends a request to a target over a pooled connection.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import type { Readable } from "node:stream";
import type { Dispatcher } from "undici";
import type { AccountId, TargetId } from "@poplarthread/ids";
import type { Steering } from "@poplarthread/placement";
import type { ConnectionSource } from "./connections.ts";
import type { CallerRequest, Dialect } from "./ports.ts";
import { TargetAttempt, type TargetAttemptOwner } from "./target_attempt.ts";
import type { TargetDirectory } from "./target_directory.ts";

/** Dependencies for starting an attempt. */
export interface StartAttemptServices {
  readonly dialect: Dialect;
  readonly steering: Steering;
  readonly connections: ConnectionSource;
  readonly targets: TargetDirectory;
}

/** The request to send, and its target. */
export interface StartAttemptOptions {
  readonly target: TargetId;
  readonly request: CallerRequest;
  readonly method: string;
  /** Path and query of the request. */
  readonly url: string;
  readonly body: Buffer | Readable | null;
  /** Time left for the target to respond. */
  readonly leftMs: number;
  /** The client account that sent the request; undefined if callers are not identified. */
  readonly account: AccountId | undefined;
  /**
   * Called with the attempt before anything is sent, because its events may occur
   * before {@link startAttempt} returns.
   */
  started(attempt: TargetAttempt): void;
}

/** Starts an attempt; `owner` receives its events. */
export function startAttempt(
  owner: TargetAttemptOwner,
  services: StartAttemptServices,
  options: StartAttemptOptions,
): void {
  const { targets, connections, steering, dialect } = services;
  const { target: id, request, method, url, body, leftMs, account } = options;
  const connection = connections.take({
    id,
    address: targets.get(id)!.address,
    roundTripMs: steering.roundTripTo(id),
  }, request.requestId);
  const attempt = new TargetAttempt(owner, {
    target: id,
    requestId: request.requestId,
    connection,
    dialect,
  });
  options.started(attempt);
  connection.dispatch({
    path: url,
    method: method as Dispatcher.HttpMethod,
    headers: [
      ...request.rawHeaders,
      ...dialect.attemptHeaders({ target: id, remainingMs: leftMs, account }),
    ],
    body,
  }, attempt);
}
