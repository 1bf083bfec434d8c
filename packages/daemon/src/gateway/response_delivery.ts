/**
 * Delivers a response to its caller at the caller's pace. What the caller has not
 * taken yet is held as long as the budget has room; beyond that the target is paused.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import { ChunkBuffer } from "../http/chunk_buffer.ts";
import type { DeadlineWheel, Expiring } from "../http/deadline_wheel.ts";
import type { ResponseHold } from "./response_budget.ts";

/** Size of a single write: small enough that the memory of a delivered part is soon free. */
const WRITE_BYTES = 65_536;
/** Smaller chunks are joined to those that arrive with them. */
const JOINED_BYTES = 4_096;
/** A caller that takes nothing for this long has stopped reading. */
const STALL_TIMEOUT_MS = 30_000;

/** Options of a delivery. */
export interface ResponseDeliveryOptions {
  readonly hold: ResponseHold;
  readonly wheel: DeadlineWheel;
  /** Called when the network has taken everything after {@link ResponseDelivery.end}. */
  delivered(): void;
  /** Called when the caller has stopped reading. */
  stalled(): void;
}

/** The delivery of one response whose header has been written. */
export class ResponseDelivery implements Expiring {
  expiresAt = 0;
  readonly #res: ServerResponse;
  readonly #options: ResponseDeliveryOptions;
  readonly #queue = new ChunkBuffer();
  #isFlushDue = false;
  /** Bytes written to the socket and not taken by the network. */
  #unsentBytes = 0;
  #resume: (() => void) | undefined;
  #hasAllBytes = false;
  #isClosed = false;
  #blockedAt: number | undefined;
  #progressAt = 0;
  #heldMs = 0;
  #totalBytes = 0;

  constructor(res: ServerResponse, options: ResponseDeliveryOptions) {
    this.#res = res;
    this.#options = options;
  }

  /** Time for which bytes were ready and the caller did not take them, in milliseconds. */
  get heldMs(): number {
    return this.#heldMs +
      (this.#blockedAt === undefined ? 0 : performance.now() - this.#blockedAt);
  }

  /** Size of the response so far. */
  get totalBytes(): number {
    return this.#totalBytes;
  }

  /** Delivers a chunk. If it returns false, wait for `resume` before adding another. */
  write(chunk: Buffer, resume: () => void): boolean {
    this.#add(chunk);
    if (this.#queue.byteLength < JOINED_BYTES) {
      this.#flushSoon();
    } else {
      this.#flush();
    }
    if (!this.#isBlocked || this.#options.hold.mayGrow(WRITE_BYTES)) {
      return true;
    }
    this.#resume = resume;
    // Memory becomes free while undici parses another response, and its parsers do not nest.
    this.#options.hold.pause(() => setImmediate(() => this.#resumeTarget()));
    return false;
  }

  /** Delivers the last chunks, and ends the response once the network has taken everything. */
  end(chunks: readonly Buffer[] = []): void {
    chunks.forEach((chunk) => this.#add(chunk));
    this.#hasAllBytes = true;
    this.#flush();
  }

  /** Writes a small response whole. */
  endWith(body: Buffer): void {
    this.#hasAllBytes = true;
    this.#totalBytes = body.length;
    this.#res.end(body);
    if (this.#res.writableLength > 0) {
      this.#block(body.length, "finish");
      this.#options.hold.resize(body.length);
    } else {
      this.#options.delivered();
    }
  }

  /** Stops delivering, at the end or because the caller has disconnected. */
  close(): void {
    this.#isClosed = true;
    this.#queue.clear();
    this.#resume = undefined;
    this.#options.wheel.delete(this);
  }

  expire(now: number): void {
    if (this.#isClosed) {
      return;
    }
    const lastProgressAt = this.#isBlocked ? this.#progressAt : now;
    if (now - lastProgressAt >= STALL_TIMEOUT_MS) {
      this.#options.stalled();
      return;
    }
    this.#watch(lastProgressAt);
  }

  get #isBlocked(): boolean {
    return this.#blockedAt !== undefined;
  }

  #add(chunk: Buffer): void {
    this.#queue.add(chunk);
    this.#totalBytes += chunk.length;
  }

  /** Writes what has been read at once as one: each write takes memory of its own. */
  #flushSoon(): void {
    if (this.#isFlushDue) {
      return;
    }
    this.#isFlushDue = true;
    queueMicrotask(() => {
      this.#isFlushDue = false;
      if (!this.#isClosed) {
        this.#flush();
      }
    });
  }

  /** Writes until the network takes no more. */
  #flush(): void {
    while (this.#queue.byteLength > 0 && !this.#isBlocked) {
      const chunk = this.#queue.take(WRITE_BYTES);
      if (!this.#res.write(chunk)) {
        this.#block(chunk.length, "drain");
      }
    }
    this.#options.hold.resize(this.#queue.byteLength + this.#unsentBytes);
    if (this.#hasAllBytes && !this.#isBlocked && !this.#isClosed) {
      // An ended response counts as idle to Node's server, which closes idle connections
      // when it stops. So the end is written last.
      this.#res.end();
      this.#options.delivered();
    }
  }

  /** Waits until the network has taken what was written, as `event` tells. */
  #block(unsentBytes: number, event: "drain" | "finish"): void {
    const now = performance.now();
    this.#unsentBytes = unsentBytes;
    this.#blockedAt = now;
    if (this.#progressAt === 0) {
      this.#watch(now);
    }
    this.#progressAt = now;
    this.#res.once(event, () => this.#unblock());
  }

  #unblock(): void {
    this.#heldMs = this.heldMs;
    this.#blockedAt = undefined;
    this.#unsentBytes = 0;
    if (this.#isClosed) {
      return;
    }
    this.#progressAt = performance.now();
    this.#flush();
    if (!this.#isBlocked) {
      this.#resumeTarget();
    }
  }

  #resumeTarget(): void {
    const resume = this.#resume;
    this.#resume = undefined;
    resume?.();
  }

  #watch(from: number): void {
    this.expiresAt = from + STALL_TIMEOUT_MS;
    this.#options.wheel.add(this);
  }
}
