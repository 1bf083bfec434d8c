/**
 * The memory that a VM spends on responses which their callers have not taken yet.
 *
 * The load: large responses for callers that read slowly. A response that arrives in
 * a tenth of a second may take a minute to be read; held for a few hundred callers, it
 * is more than a small VM has, and a VM over its limit is killed with all its requests.
 *
 * Free memory is shared by a dynamic threshold: a response may grow while it is not
 * larger than what is still free. One slow caller gets half of the budget, a hundred
 * get a hundred-and-first each, and there is always room for another.
 *
 * @module
 */

import { ResponseSizes } from "./response_sizes.ts";

/** Responses up to this size are not counted: the network takes them at once. */
export const SMALL_RESPONSE_BYTES = 16_384;
/**
 * What a streamed response needs even while its target is paused: one chunk that has
 * been read, and as much unread in the kernel.
 */
export const STREAM_BYTES = 131_072;

/** Share of the VM's memory for the process and the responses; the rest is for kernel buffers and fragmentation. */
const USABLE_MEMORY_SHARE = 0.75;
/** Memory for each byte held: chunks are smaller than what is allocated for them, and copied when they are joined. */
const MEMORY_PER_BYTE = 1.5;
/** Budget of a process that leaves none: some streams at a time. */
const MIN_BUDGET_BYTES = 32 * STREAM_BYTES;

/** The budget of a VM with `memoryBytes`, whose process needs `residentBytes` besides the responses. */
export function budgetBytesFor({ memoryBytes, residentBytes }: {
  readonly memoryBytes: number;
  readonly residentBytes: number;
}): number {
  const usableBytes = memoryBytes * USABLE_MEMORY_SHARE - residentBytes;
  return Math.max(MIN_BUDGET_BYTES, usableBytes / MEMORY_PER_BYTE);
}

/** Decides which responses may take memory; see the module comment. */
export class ResponseBudget {
  readonly #sizes = new ResponseSizes();
  readonly #paused = new Set<ResponseHold>();
  readonly #isMemoryShort: () => boolean;
  #totalBytes = Infinity;
  #chargedBytes = 0;
  #heldBytes = 0;

  /** `isMemoryShort` tells whether the VM has no memory for any more requests. */
  constructor(isMemoryShort: () => boolean = () => false) {
    this.#isMemoryShort = isMemoryShort;
  }

  /** The whole budget; infinite until {@link setTotal}. */
  get totalBytes(): number {
    return this.#totalBytes;
  }

  /** Bytes of responses that are held now. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Budget that is neither held nor reserved; negative if the budget has shrunk below that. */
  get freeBytes(): number {
    const bytes = this.#totalBytes - this.#chargedBytes;
    return this.#isMemoryShort() ? Math.min(0, bytes) : bytes;
  }

  setTotal(bytes: number): void {
    this.#totalBytes = bytes;
    this.#resumePaused();
  }

  /** Whether there is room for the response to a request of a kind, at least to stream it. */
  admits(kind: string): boolean {
    return !this.#isMemoryShort() &&
      this.#reservationFor(kind) <= Math.max(0, this.freeBytes);
  }

  /** Opens the hold of one response, without any bytes. */
  open(kind: string): ResponseHold {
    return new ResponseHold({
      reservation: this.#reservationFor(kind),
      charge: (hold, change) => this.#charge(hold, change),
      freeBytes: () => this.freeBytes,
      recordSize: (bytes) => this.#sizes.record(kind, bytes),
      pause: (hold) => this.#paused.add(hold),
    });
  }

  #reservationFor(kind: string): number {
    const expected = this.#sizes.expected(kind);
    return expected <= SMALL_RESPONSE_BYTES
      ? 0
      : Math.min(expected, STREAM_BYTES);
  }

  #charge(hold: ResponseHold, change: HoldChange): void {
    this.#chargedBytes += change.charged;
    this.#heldBytes += change.held;
    if (change.isReleased) {
      this.#paused.delete(hold);
    }
    if (change.charged < 0) {
      this.#resumePaused();
    }
  }

  /** Resumes paused responses, the longest paused first, while they may grow. */
  #resumePaused(): void {
    for (const hold of this.#paused) {
      if (!hold.mayGrow(STREAM_BYTES)) {
        return;
      }
      this.#paused.delete(hold);
      hold.resume();
    }
  }
}

/** Change of what a hold takes from its budget. */
interface HoldChange {
  readonly charged: number;
  readonly held: number;
  readonly isReleased: boolean;
}

/** What a hold needs of its budget. */
interface HoldOptions {
  readonly reservation: number;
  charge(hold: ResponseHold, change: HoldChange): void;
  freeBytes(): number;
  recordSize(bytes: number): void;
  pause(hold: ResponseHold): void;
}

/** The bytes held for one response. */
export class ResponseHold {
  readonly #options: HoldOptions;
  #reservedBytes = 0;
  #heldBytes = 0;
  #peakBytes = 0;
  #resume: (() => void) | undefined;

  constructor(options: HoldOptions) {
    this.#options = options;
  }

  /** The most bytes that were held. */
  get peakBytes(): number {
    return this.#peakBytes;
  }

  /** Reserves what streaming the response needs. Called before the request is sent. */
  reserve(): void {
    this.#set(this.#options.reservation, this.#heldBytes);
  }

  /** Sets the number of bytes that are held. */
  resize(bytes: number): void {
    if (bytes !== this.#heldBytes) {
      this.#peakBytes = Math.max(this.#peakBytes, bytes);
      this.#set(this.#reservedBytes, bytes);
    }
  }

  /** Records the size of the complete response, for the reservations of later ones. */
  recordSize(bytes: number): void {
    this.#options.recordSize(bytes);
  }

  /** Whether `bytes` more may be held. */
  mayGrow(bytes: number): boolean {
    const heldBytes = this.#heldBytes + bytes;
    return heldBytes <= SMALL_RESPONSE_BYTES ||
      heldBytes <= this.#options.freeBytes();
  }

  /** Registers a response whose target is paused: `resume` is called once it may grow. */
  pause(resume: () => void): void {
    this.#resume = resume;
    this.#options.pause(this);
  }

  /** Resumes a paused response. */
  resume(): void {
    const resume = this.#resume;
    this.#resume = undefined;
    resume?.();
  }

  /** Returns everything to the budget. */
  release(): void {
    this.#resume = undefined;
    this.#set(0, 0, true);
  }

  #set(reserved: number, held: number, isReleased = false): void {
    const charged = Math.max(reserved, held) -
      Math.max(this.#reservedBytes, this.#heldBytes);
    const change = { charged, held: held - this.#heldBytes, isReleased };
    this.#reservedBytes = reserved;
    this.#heldBytes = held;
    this.#options.charge(this, change);
  }
}
