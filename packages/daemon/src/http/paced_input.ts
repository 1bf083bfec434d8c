/**
 * Shares the time for parsing large input among connections.
 *
 * One read of a socket may hold thousands of chunks or header fields, whose parsing takes
 * a hundred times as long as that of an ordinary request. Large input is parsed in slices;
 * once those of a turn of the event loop have taken their time, the rest waits for the
 * next one. Small input is parsed at once.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/** Input up to this size is parsed at once, as most requests are. */
const SMALL_BYTES = 2_048;
/** Size of the slices of larger input. */
const SLICE_BYTES = 4_096;
/** Time for slices in a turn of the event loop. */
const TURN_MS = 8;

/** What is used of a server's socket besides its public interface. */
type ServerSocket = Socket & {
  /** Set by Node's HTTP server while responses wait to be written: its parser takes no input. */
  readonly _paused?: boolean;
  readonly parser?: { readonly incoming: IncomingMessage | null } | null;
};

/** A connection with input that has been read and not parsed. */
interface PacedConnection {
  readonly socket: ServerSocket;
  readonly parse: (input: Buffer) => void;
  readonly unparsed: Buffer[];
}

/** Options of {@link PacedInput}. */
export interface PacedInputOptions {
  /** Memory for input that waits; beyond it, connections whose input must wait are closed. */
  readonly bytes: number;
  /** Called at the end of each turn in which large input was parsed; not at all by default. */
  parsed?(): void;
}

/** See the module comment. */
export class PacedInput {
  readonly #options: PacedInputOptions;
  /** Connections that wait for their turn, the first one at the beginning. */
  readonly #waiting = new Set<PacedConnection>();
  #waitingBytes = 0;
  #spentMs = 0;
  #turnEndIsAwaited = false;

  constructor(options: PacedInputOptions) {
    this.#options = options;
  }

  /** Bytes that wait to be parsed. */
  get waitingBytes(): number {
    return this.#waitingBytes;
  }

  /** Paces the input of a connection of an HTTP server, before any of it was read. */
  follow(socket: Socket): void {
    const [parse] = socket.listeners("data") as [(input: Buffer) => void];
    const connection: PacedConnection = { socket, parse, unparsed: [] };
    socket.off("data", parse);
    socket.on("data", (input: Buffer) => this.#read(connection, input));
    socket.on("resume", () => this.#resumed(connection));
    socket.once("close", () => this.#forget(connection));
  }

  #read(connection: PacedConnection, input: Buffer): void {
    if (input.length <= SMALL_BYTES && connection.unparsed.length === 0) {
      connection.parse(input);
      return;
    }
    connection.unparsed.push(input);
    this.#waitingBytes += input.length;
    this.#parse(connection);
  }

  /** Node resumes a socket whenever a request wants more of its body, or a response has left. */
  #resumed(connection: PacedConnection): void {
    if (this.#waiting.has(connection)) {
      connection.socket.pause();
    } else if (connection.unparsed.length > 0) {
      this.#parse(connection);
    }
  }

  #parse(connection: PacedConnection): void {
    const { socket, parse, unparsed } = connection;
    while (unparsed.length > 0 && takesInput(socket)) {
      if (this.#spentMs >= TURN_MS) {
        this.#wait(connection);
        return;
      }
      const startedAt = performance.now();
      parse(this.#takeSlice(unparsed));
      this.#spend(performance.now() - startedAt);
    }
  }

  #takeSlice(unparsed: Buffer[]): Buffer {
    const [first] = unparsed as [Buffer];
    const slice = first.subarray(0, SLICE_BYTES);
    if (slice.length === first.length) {
      unparsed.shift();
    } else {
      unparsed[0] = first.subarray(SLICE_BYTES);
    }
    this.#waitingBytes -= slice.length;
    return slice;
  }

  #wait(connection: PacedConnection): void {
    if (this.#waitingBytes > this.#options.bytes) {
      connection.socket.destroy();
      return;
    }
    this.#waiting.add(connection);
    connection.socket.pause();
  }

  #spend(ms: number): void {
    this.#spentMs += ms;
    if (!this.#turnEndIsAwaited) {
      this.#turnEndIsAwaited = true;
      setImmediate(() => this.#turnEnded());
    }
  }

  #turnEnded(): void {
    this.#spentMs = 0;
    this.#turnEndIsAwaited = false;
    this.#options.parsed?.();
    for (const connection of this.#waiting) {
      if (this.#spentMs >= TURN_MS) {
        return;
      }
      this.#waiting.delete(connection);
      this.#parse(connection);
      if (connection.unparsed.length === 0 && takesInput(connection.socket)) {
        connection.socket.resume();
      }
    }
  }

  #forget(connection: PacedConnection): void {
    this.#waiting.delete(connection);
    for (const { length } of connection.unparsed.splice(0)) {
      this.#waitingBytes -= length;
    }
  }
}

/** Whether input may be parsed now. If not, Node resumes the socket once it may. */
function takesInput(socket: ServerSocket): boolean {
  const req = socket.parser?.incoming;
  const isBodyFull = req && !req.complete &&
    req.readableLength >= req.readableHighWaterMark;
  return !socket.destroyed && !socket._paused && !isBodyFull;
}
