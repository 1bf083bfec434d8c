/**
 * One kept connection to a peer: lines of JSON-RPC both ways.
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
 * Longest line before the peer has proved itself: a handshake is about 300
 * bytes, and a stranger must not make this VM keep more.
 */
export const STRANGER_LINE_BYTES = 4_096;
/** Longest line of a peer: a preset of 1,000 routes is about 200 KB. */
export const PEER_LINE_BYTES = 1_048_576;
/** Unsent bytes beyond which notices are dropped: the peer has stopped reading. */
const MAX_UNSENT_BYTES = 4_194_304;

/** Told of what passes and of the end. */
export interface ChannelListener {
  bytesRead(count: number): void;
  bytesWritten(count: number): void;
  /** Called once. `err` is absent where the other side just closed. */
  closed(err: Error | undefined): void;
}

/** Speaks JSON-RPC over a socket. */
export class Channel {
  readonly rpc: JSONRPCServerAndClient;
  readonly #socket: Socket;
  readonly #reader = new LineReader(STRANGER_LINE_BYTES);
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

  /** Whether so much is unsent that more would only pile up. */
  get congested(): boolean {
    return this.#socket.writableLength > MAX_UNSENT_BYTES;
  }

  get isClosed(): boolean {
    return this.#closed;
  }

  /** The peer has proved itself: it may send long lines. */
  trust(): void {
    this.#reader.maxLength = PEER_LINE_BYTES;
  }

  /** Ends the connection; what waits for an answer fails. */
  close(err?: Error): void {
    if (this.#closed) {
      return;
    }
    this.#closed = true;
    this.#socket.destroy();
    this.rpc.rejectAllPendingRequests(err?.message ?? "connection closed");
    this.#listener.closed(err);
  }

  /** Ends the connection once the answer to the message at hand is out. */
  finish(err: Error): void {
    // The answer is written a few microtasks from now.
    setImmediate(() => this.#socket.end(() => this.close(err)));
  }

  #write(payload: unknown): Promise<void> {
    if (this.#closed) {
      return Promise.reject(new PeerProtocolError("Cannot write: closed"));
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
      throw new PeerProtocolError("Cannot read a line: not JSON");
    }
    if (typeof payload !== "object" || payload === null) {
      throw new PeerProtocolError("Cannot read a line: not a message");
    }
    this.rpc.receiveAndSend(payload, undefined, undefined).catch((err) =>
      this.close(err as Error)
    );
  }
}
