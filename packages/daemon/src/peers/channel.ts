/**
 * A persistent connection to a peer that carries newline-delimited JSON-RPC in
 * both directions.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import {
  JSONRPCClient,
  JSONRPCServer,
  JSONRPCServerAndClient,
} from "json-rpc-2.0";
import { PeerProtocolError } from "../errors.ts";
import { LineReader } from "./line_reader.ts";

/**
 * Longest line before the peer is authenticated. A handshake is about 300 bytes,
 * and an unauthenticated peer must not make this VM buffer much more.
 */
export const MAX_UNAUTHENTICATED_LINE_BYTES = 4_096;
/** Longest line of an authenticated peer; a preset of 1,000 routes is about 200 KB. */
export const MAX_PEER_LINE_BYTES = 1_048_576;
/** With more unsent bytes, the peer has stopped reading and notifications are dropped. */
const MAX_UNSENT_BYTES = 4_194_304;

/** Receives a channel's traffic counts and its end. */
export interface ChannelListener {
  bytesRead(count: number): void;
  bytesWritten(count: number): void;
  /** Called once. `err` is undefined if the connection closed without an error. */
  closed(err: Error | undefined): void;
}

/** A JSON-RPC client and server over one socket. */
export class Channel {
  readonly rpc: JSONRPCServerAndClient;
  readonly #socket: Socket;
  readonly #reader = new LineReader(MAX_UNAUTHENTICATED_LINE_BYTES);
  readonly #listener: ChannelListener;
  #closed = false;

  constructor(socket: Socket, listener: ChannelListener) {
    this.#socket = socket;
    this.#listener = listener;
    this.rpc = new JSONRPCServerAndClient(
      new JSONRPCServer({ errorListener: () => undefined }),
      new JSONRPCClient((payload) => this.#write(payload)),
      { errorListener: () => undefined },
    );
    socket.setNoDelay(true);
    socket.on("data", (chunk: Buffer) => this.#read(chunk));
    socket.on("error", (err) => this.close(err));
    socket.on("close", () => this.close());
  }

  /** Whether too much is unsent to queue more. */
  get congested(): boolean {
    return this.#socket.writableLength > MAX_UNSENT_BYTES;
  }

  get isClosed(): boolean {
    return this.#closed;
  }

  /** Marks the peer as authenticated, which allows longer lines. */
  markAuthenticated(): void {
    this.#reader.maxLineBytes = MAX_PEER_LINE_BYTES;
  }

  /** Closes the connection; pending requests are rejected. */
  close(err?: Error): void {
    if (this.#closed) {
      return;
    }
    this.#closed = true;
    this.#socket.destroy();
    this.rpc.rejectAllPendingRequests(err?.message ?? "connection closed");
    this.#listener.closed(err);
  }

  /** Closes the connection after the response to the current message is sent. */
  closeAfterResponse(err: Error): void {
    // The response is written a few microtasks from now.
    setImmediate(() => this.#socket.end(() => this.close(err)));
  }

  #write(payload: unknown): Promise<void> {
    if (this.#closed) {
      return Promise.reject(
        new PeerProtocolError(
          "Cannot write to the peer: the connection is closed",
        ),
      );
    }
    const line = JSON.stringify(payload) + "\n";
    this.#listener.bytesWritten(line.length);
    this.#socket.write(line);
    return Promise.resolve();
  }

  #read(chunk: Buffer): void {
    this.#listener.bytesRead(chunk.length);
    try {
      for (const line of this.#reader.read(chunk)) {
        this.#receive(line);
      }
    } catch (err) {
      this.close(err as Error);
    }
  }

  #receive(line: string): void {
    if (this.#closed) {
      return;
    }
    let payload: unknown;
    try {
      payload = JSON.parse(line);
    } catch {
      throw new PeerProtocolError("Cannot read a line from the peer: not JSON");
    }
    if (typeof payload !== "object" || payload === null) {
      throw new PeerProtocolError(
        "Cannot read a line from the peer: not a JSON object",
      );
    }
    this.rpc.receiveAndSend(payload, undefined, undefined).catch((err) =>
      this.close(err as Error)
    );
  }
}
