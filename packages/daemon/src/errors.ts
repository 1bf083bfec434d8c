/**
 * Error classes of the daemon.
 *
 * @module
 */

/** A task failed more often than its supervisor's restart policy allows. */
export class RestartLimitError extends Error {
  override readonly name = "RestartLimitError";
}

/** The system refused or took away a resource, such as a port that another process holds. */
export class ResourceError extends Error {
  override readonly name = "ResourceError";
}

/** A peer sent data that this version of the peer protocol does not allow. */
export class PeerProtocolError extends Error {
  override readonly name = "PeerProtocolError";
}

/** An attempt was cancelled before any byte of it was sent. */
export class NotSentError extends Error {
  override readonly name = "NotSentError";
}

/** The message of any thrown value. */
export function messageOf(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}

/** Whether an error says that nobody accepts connections at an address. */
export function isRefusedConnection(err: unknown): boolean {
  return (err as Partial<NodeJS.ErrnoException> | null)?.code ===
    "ECONNREFUSED";
}

/** Whether an error of the HTTP client says that a request is not one of HTTP/1.1. */
export function isInvalidRequest(err: unknown): boolean {
  return (err as Partial<NodeJS.ErrnoException> | null)?.code ===
    "UND_ERR_INVALID_ARG";
}

/** Connecting to a target timed out. */
export class ConnectTimeoutError extends Error {
  override readonly name = "ConnectTimeoutError";
}

/** The local VM has reset a connection. */
export class ConnectionResetError extends Error {
  override readonly name = "ConnectionResetError";
}

/** The data received on a connection is not a valid response to the request sent on it. */
export class InvalidResponseError extends Error {
  override readonly name = "InvalidResponseError";
}

/** A health probe timed out. */
export class ProbeTimeoutError extends Error {
  override readonly name = "ProbeTimeoutError";
}
