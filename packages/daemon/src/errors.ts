/**
 * The daemon's own errors.
 *
 * @module
 */

/** A task failed more often than its supervisor allows. */
export class RestartLimitError extends Error {
  override readonly name = "RestartLimitError";
}

/** A peer said something that this version of the protocol does not allow. */
export class PeerProtocolError extends Error {
  override readonly name = "PeerProtocolError";
}

/** An attempt was given up before any byte of it was sent. */
export class NotSentError extends Error {
  override readonly name = "NotSentError";
}

/** The message of anything that was thrown. */
export function messageOf(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}

/** A target could not be connected to within the time that it may take. */
export class ConnectTimeoutError extends Error {
  override readonly name = "ConnectTimeoutError";
}

/** What came on a connection is no answer to the request on it. */
export class WrongAnswerError extends Error {
  override readonly name = "WrongAnswerError";
}

/** A health probe was not answered within the time that it may take. */
export class ProbeTimeoutError extends Error {
  override readonly name = "ProbeTimeoutError";
}
