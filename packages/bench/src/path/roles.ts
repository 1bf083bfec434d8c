/**
 * What the processes of the experiment are told, each as JSON in its only
 * argument.
 *
 * @module
 */

/** A server to start. */
export interface ServerRole {
  readonly host: string;
  readonly port: number;
  /** The server behind it, where it has one: `http://host:port`. */
  readonly behind?: string;
}

/** One phase of load. */
export interface LoadRole {
  /** `http://host:port` of the server under load. */
  readonly url: string;
  readonly path: string;
  readonly seconds: number;
  /** Connections, each with one request at a time. */
  readonly connections: number;
  /** Requests a second at which they begin; without it, as many as get through. */
  readonly perSecond?: number;
  /** Closes each connection after its request. */
  readonly churn?: boolean;
}

/** What a phase of load measured. */
export interface LoadResult {
  readonly requests: number;
  /** Answers with another status than 200, and broken connections. */
  readonly failed: number;
  readonly perSecond: number;
  readonly latencyMs: {
    readonly p50: number;
    readonly p99: number;
    readonly max: number;
  };
}

/** Size of the answer of targets: about one page of text. */
export const ANSWER_BYTES = 1_024;
