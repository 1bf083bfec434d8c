/**
 * The body of a caller's request: buffered while it is small, so that it can be
 * sent again, and streamed with backpressure if it is larger.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { Readable } from "node:stream";
import { ChunkBuffer } from "./chunk_buffer.ts";

/**
 * Largest body to buffer completely before the request is routed. That way a slow
 * sender of a small body never occupies a slot, and the body can be replayed. The
 * listener bounds the memory of all bodies together.
 */
export const MAX_BUFFERED_BODY_BYTES = 65_536;

/** The length and framing of a body, from the header of its request. */
export interface BodyFraming {
  /** Length of the body in bytes; -1 if the header does not give it. */
  readonly contentLength: number;
  readonly chunked: boolean;
}

/** Notified once the body can be sent, or is found to be too large. */
export interface BodyListener {
  /** The body is buffered completely, or the rest of it will be streamed. */
  bodyReady(): void;
  /** The body is larger than `limitBytes`. */
  bodyTooLarge(): void;
  /** Whether `bytes` of the body may be held. If it returns false, no more is read. */
  bodyGrows(bytes: number): boolean;
}

/** Reads the body of one request. */
export class RequestBody {
  readonly #req: IncomingMessage;
  readonly #limitBytes: number;
  readonly #listener: BodyListener;
  readonly #chunks = new ChunkBuffer();
  /**
   * Whether it is streamed from its first bytes on. No target is chosen before: it might
   * leave while they are awaited.
   */
  #isLarge = false;
  #receivedBytes = 0;
  #readyNotified = false;
  #stream: Readable | undefined;
  #buffered: Buffer | null = null;
  #sendStarted = false;
  #destroyed = false;
  /** Time of the last received bytes, in milliseconds of the monotonic clock. */
  lastByteAt: number;
  /** Whether the body has been received completely. */
  complete = false;

  constructor(
    req: IncomingMessage,
    options: { limitBytes: number; listener: BodyListener; now: number },
  ) {
    this.#req = req;
    this.#limitBytes = options.limitBytes;
    this.#listener = options.listener;
    this.lastByteAt = options.now;
  }

  /** Whether a request with this header has a body. */
  static isPresent(head: BodyFraming): boolean {
    return head.chunked || head.contentLength > 0;
  }

  /** Starts to read the body. The listener may be called before this method returns. */
  start(head: BodyFraming): void {
    if (head.contentLength > this.#limitBytes) {
      this.#listener.bodyTooLarge();
      return;
    }
    const req = this.#req;
    req.on("data", (chunk: Buffer) => this.#onChunk(chunk));
    req.on("end", () => this.#onEnd());
    req.on(
      "error",
      () =>
        this.#stream?.destroy(
          new Error("Caller disconnected while sending the body"),
        ),
    );
    this.#isLarge = head.contentLength > MAX_BUFFERED_BODY_BYTES &&
      this.#listener.bodyGrows(MAX_BUFFERED_BODY_BYTES);
  }

  /** Whether the body can be sent again. */
  get replayable(): boolean {
    return this.#stream === undefined;
  }

  /** Whether an attempt may send the body; a stream only until one attempt has started to send it. */
  get available(): boolean {
    return this.#stream === undefined ||
      (!this.#sendStarted && !this.#stream.destroyed);
  }

  /** The body to send with an attempt: a stream, a buffer, or null if there is none. */
  get content(): Buffer | Readable | null {
    return this.#stream ?? this.#buffered;
  }

  /** Records that an attempt starts to send the body. */
  markSendStarted(): void {
    this.#sendStarted = true;
  }

  /** The complete body, for digests; undefined if it is streamed. */
  get buffered(): Buffer | undefined {
    return this.#stream === undefined
      ? this.#buffered ?? Buffer.alloc(0)
      : undefined;
  }

  /** Aborts a stream, so that no target takes a truncated body for a complete one. */
  destroy(): void {
    this.#destroyed = true;
    this.#stream?.destroy();
    this.#chunks.clear();
    this.#buffered = null;
  }

  #onChunk(chunk: Buffer): void {
    this.lastByteAt = performance.now();
    if (this.#destroyed) {
      return;
    }
    this.#receivedBytes += chunk.length;
    if (this.#receivedBytes > this.#limitBytes) {
      this.#req.pause();
      this.#stream?.destroy(
        new Error("Request body is larger than the limit"),
      );
      this.#listener.bodyTooLarge();
      return;
    }
    if (this.#stream !== undefined) {
      if (!this.#stream.push(chunk)) {
        this.#req.pause();
      }
      return;
    }
    if (!this.#isLarge && !this.#listener.bodyGrows(this.#receivedBytes)) {
      return;
    }
    this.#chunks.add(chunk);
    if (this.#isLarge || this.#receivedBytes > MAX_BUFFERED_BODY_BYTES) {
      this.#switchToStream();
    }
  }

  #onEnd(): void {
    this.complete = true;
    if (this.#destroyed) {
      return;
    }
    if (this.#stream !== undefined) {
      this.#stream.push(null);
      return;
    }
    const chunks = this.#chunks.takeAll();
    this.#buffered = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
    this.#notifyReady();
  }

  #switchToStream(): void {
    const req = this.#req;
    const stream = new Readable({
      read: () => {
        req.resume();
      },
    });
    // The attempt that sends the stream handles its errors itself. While there is none,
    // a reset by the caller would be an uncaught exception without this handler.
    stream.on("error", () => undefined);
    this.#stream = stream;
    for (const chunk of this.#chunks.takeAll()) {
      stream.push(chunk);
    }
    req.pause();
    this.#notifyReady();
  }

  #notifyReady(): void {
    if (!this.#readyNotified) {
      this.#readyNotified = true;
      this.#listener.bodyReady();
    }
  }
}
