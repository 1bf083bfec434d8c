/**
 * Keeps the process within the VM's memory, beyond which it would be killed.
 *
 * V8 collects garbage when its own limits are near, which are the same on a VM of any
 * size. Freed buffers and objects of a burst may exceed a small VM's memory before that.
 *
 * @module
 */

import process from "node:process";
import { getHeapStatistics, setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import type { EventLog } from "./events.ts";

/** Share of the VM's memory, and of V8's heap, from which on garbage is collected before V8 would. */
const COLLECT_SHARE = 0.55;
/** New objects that make a collection worth its time. */
const MIN_GROWTH_BYTES = 8_000_000;
/** Time between two collections, in multiples of what the latest one took. */
const MIN_PAUSE_RATIO = 20;
/** Share of the VM's memory, and of V8's heap, from which on garbage is collected without that pause. */
const URGENT_SHARE = 0.7;
/** Share of the VM's memory, and of V8's heap, from which on no more requests are taken. */
const SHORT_SHARE = 0.8;
/** A process that is too large for its VM from the start takes requests up to this growth. */
const MIN_ROOM_BYTES = 64_000_000;

/** Sizes in bytes. */
export interface MemorySizes {
  /** Memory of the process, freed memory that the allocator keeps among it. */
  readonly residentBytes: number;
  /** Objects and buffers, garbage among them. */
  readonly allocatedBytes: number;
  /** Share of V8's heap that is in use; the process ends when it is full. */
  readonly heapShare: number;
}

/** What the guard needs of the process. */
export interface ProcessMemory {
  sizes(): MemorySizes;
  collectGarbage(): void;
}

/** How much of the memory may be in use: bytes of the VM, and a share of V8's heap. */
interface Level {
  readonly bytes: number;
  readonly heapShare: number;
}

/** See the module comment. */
export class MemoryGuard {
  readonly #memory: ProcessMemory;
  readonly #log: EventLog;
  readonly #collectFrom: Level;
  readonly #urgentFrom: Level;
  readonly #shortFrom: Level;
  /** Resident size that is not of objects and buffers: code, stacks, the allocator. */
  readonly #otherBytes: number;
  /** Size after the latest collection. */
  #liveBytes: number;
  #collections = 0;
  #nextCollectionAt = -Infinity;
  #residentBytes: number;
  #shortSince: number | undefined;

  constructor(
    memoryBytes: number,
    { log, memory = processMemory }: { log: EventLog; memory?: ProcessMemory },
  ) {
    const { residentBytes, allocatedBytes } = memory.sizes();
    this.#memory = memory;
    this.#log = log;
    this.#liveBytes = allocatedBytes;
    this.#residentBytes = residentBytes;
    this.#otherBytes = Math.max(0, residentBytes - allocatedBytes);
    const levelAt = (share: number): Level => ({
      bytes: memoryBytes * share,
      heapShare: share,
    });
    this.#collectFrom = levelAt(COLLECT_SHARE);
    this.#urgentFrom = levelAt(URGENT_SHARE);
    this.#shortFrom = {
      bytes: Math.max(
        memoryBytes * SHORT_SHARE,
        residentBytes + MIN_ROOM_BYTES,
      ),
      heapShare: SHORT_SHARE,
    };
  }

  /** Whether there is no memory for more requests. */
  get isShort(): boolean {
    return this.#shortSince !== undefined;
  }

  /** Size of the process at the latest check. */
  get residentBytes(): number {
    return this.#residentBytes;
  }

  /** Collections since the start. */
  get collections(): number {
    return this.#collections;
  }

  /** Collects garbage if the process has become large; called often. */
  check(now: number): void {
    let sizes = this.#memory.sizes();
    this.#liveBytes = Math.min(this.#liveBytes, sizes.allocatedBytes);
    const mayCollect = now >= this.#nextCollectionAt ||
      this.#isAbove(this.#urgentFrom, sizes);
    if (mayCollect && this.#isCollectionWorthIt(sizes)) {
      this.#collect(now);
      sizes = this.#memory.sizes();
      this.#liveBytes = sizes.allocatedBytes;
    }
    this.#residentBytes = sizes.residentBytes;
    this.#setShort(this.#isAbove(this.#shortFrom, sizes), now);
  }

  #collect(now: number): void {
    const startedAt = performance.now();
    this.#memory.collectGarbage();
    const tookMs = performance.now() - startedAt;
    this.#nextCollectionAt = now + MIN_PAUSE_RATIO * tookMs;
    this.#collections += 1;
  }

  #isCollectionWorthIt(sizes: MemorySizes): boolean {
    return sizes.allocatedBytes - this.#liveBytes > MIN_GROWTH_BYTES &&
      this.#isAbove(this.#collectFrom, sizes);
  }

  /** Goes by what is allocated: the resident size does not fall after a collection. */
  #isAbove(level: Level, { allocatedBytes, heapShare }: MemorySizes): boolean {
    return this.#otherBytes + allocatedBytes > level.bytes ||
      heapShare > level.heapShare;
  }

  #setShort(isShort: boolean, now: number): void {
    if (isShort && this.#shortSince === undefined) {
      this.#shortSince = now;
      this.#log.write("memory short", { residentBytes: this.#residentBytes });
    } else if (!isShort && this.#shortSince !== undefined) {
      this.#log.write("memory enough", {
        residentBytes: this.#residentBytes,
        forMs: Math.round(now - this.#shortSince),
      });
      this.#shortSince = undefined;
    }
  }
}

let collect: (() => void) | undefined;

const processMemory: ProcessMemory = {
  sizes() {
    const { used_heap_size, heap_size_limit, external_memory } =
      getHeapStatistics();
    const allocatedBytes = used_heap_size + external_memory;
    return {
      allocatedBytes,
      residentBytes: residentBytes() ?? allocatedBytes,
      heapShare: used_heap_size / heap_size_limit,
    };
  },

  collectGarbage() {
    collect ??= exposeCollection();
    collect();
  },
};

/** Undefined where the system does not tell it. */
function residentBytes(): number | undefined {
  try {
    return process.memoryUsage.rss();
  } catch {
    return undefined;
  }
}

/** Only a context that is made after the flag was set has the function. */
function exposeCollection(): () => void {
  setFlagsFromString("--expose-gc");
  return runInNewContext("gc") as () => void;
}
