/**
 * The body of a caller's request: kept whole while it is small, so that it can
 * be sent again, and streamed with backpressure beyond that.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { Readable } from "node:stream";

/**
 * Largest body that is read whole before the request is steered. A slow sender
 * of a small body then never occupies a slot, and the body can be replayed;
 * 64 KiB times the default 2,000 connections stays at 128 MB.
 */
export const WHOLE_BODY_BYTES = 65_536;

/** What the header says of the body. */
export interface AnnouncedBody {
  /** Bytes of the body; -1 where the header does not say. */
  readonly contentLength: number;
  readonly chunked: boolean;
}

/** Told once how reading went. */
export interface BodyListener {
  /** The body is whole, or its rest will be streamed. */
  bodyReady(): void;
  /** It is larger than `limitBytes`. */
  bodyTooLarge(): void;
}

/** Reads one body. */
export class RequestBody {
  readonly #req: IncomingMessage;
  readonly #limitBytes: number;
  readonly #listener: BodyListener;
  #chunks: Buffer[] = [];
  #received = 0;
  #ready = false;
  #stream: Readable | undefined;
  #whole: Buffer | null = null;
  #flowing = false;
  #dropped = false;
  /** When the last bytes came, in milliseconds of the monotonic clock. */
  lastByteAt: number;
  /** Whether the caller has sent all of it. */
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

  /** Whether `head` announces a body at all. */
  static announcedBy(head: AnnouncedBody): boolean {
    return head.chunked || head.contentLength > 0;
  }

  /** Starts reading. The listener may be called before this returns. */
  start(head: AnnouncedBody): void {
    if (head.contentLength > this.#limitBytes) {
      this.#listener.bodyTooLarge();
      return;
    }
    const req = this.#req;
    req.on("data", (chunk: Buffer) => this.#take(chunk));
    req.on("end", () => this.#end());
    req.on("error", () => this.#stream?.destroy(new Error("Caller is gone")));
    if (head.contentLength > WHOLE_BODY_BYTES) {
      this.#becomeStream();
    }
  }

  /** Whether it can be sent again. */
  get replayable(): boolean {
    return this.#stream === undefined;
  }

  /** Whether an attempt may take it: a stream only until one attempt has sent of it. */
  get available(): boolean {
    return this.#stream === undefined ||
      (!this.#flowing && !this.#stream.destroyed);
  }

  /** The body for one attempt. */
  get forAttempt(): Buffer | Readable | null {
    return this.#stream ?? this.#whole;
  }

  /** An attempt begins to send it. */
  markFlowing(): void {
    this.#flowing = true;
  }

  /** The whole body, for digests; undefined where it is streamed. */
  get whole(): Buffer | undefined {
    return this.#stream === undefined
      ? this.#whole ?? Buffer.alloc(0)
      : undefined;
  }

  /** Breaks a stream off, so that no target takes a part for the whole. */
  destroy(): void {
    this.#dropped = true;
    this.#stream?.destroy();
    this.#chunks = [];
  }

  #take(chunk: Buffer): void {
    this.lastByteAt = performance.now();
    if (this.#dropped) {
      return;
    }
    this.#received += chunk.length;
    if (this.#received > this.#limitBytes) {
      this.#req.pause();
      this.#stream?.destroy(new Error("Body is too large"));
      this.#listener.bodyTooLarge();
      return;
    }
    if (this.#stream !== undefined) {
      if (!this.#stream.push(chunk)) {
        this.#req.pause();
      }
      return;
    }
    this.#chunks.push(chunk);
    if (this.#received > WHOLE_BODY_BYTES) {
      this.#becomeStream();
    }
  }

  #end(): void {
    this.complete = true;
    if (this.#dropped) {
      return;
    }
    if (this.#stream !== undefined) {
      this.#stream.push(null);
      return;
    }
    this.#whole = this.#chunks.length === 1
      ? this.#chunks[0]!
      : Buffer.concat(this.#chunks);
    this.#chunks = [];
    this.#becomeReady();
  }

  #becomeStream(): void {
    const req = this.#req;
    const stream = new Readable({
      read: () => {
        req.resume();
      },
    });
    // Whoever streams it hears of the error too; without this, nobody taking
    // the body would turn the caller's reset into an uncaught exception.
    stream.on("error", () => undefined);
    this.#stream = stream;
    for (const chunk of this.#chunks) {
      stream.push(chunk);
    }
    this.#chunks = [];
    req.pause();
    this.#becomeReady();
  }

  #becomeReady(): void {
    if (!this.#ready) {
      this.#ready = true;
      this.#listener.bodyReady();
    }
  }
}
