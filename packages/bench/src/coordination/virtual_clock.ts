/**
 * A virtual clock in place of the runtime's timers and `performance.now`, so
 * that minutes of a protocol pass in moments and every run gives the same
 * figures.
 *
 * @module
 */

interface Timer {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Replaces the runtime's clock until {@link VirtualClock.restore}. */
export class VirtualClock {
  #now = 0;
  #order = 0;
  /** Binary heap by time, then by order of creation. */
  readonly #heap: Timer[] = [];
  readonly #cancelled = new Set<number>();
  readonly #real = {
    setTimeout: globalThis.setTimeout,
    clearTimeout: globalThis.clearTimeout,
    now: performance.now,
  };

  install(): void {
    const setTimeout = (run: () => void, ms = 0): number => {
      this.#order += 1;
      this.#push({ at: this.#now + Math.max(0, ms), order: this.#order, run });
      return this.#order;
    };
    Object.assign(globalThis, {
      setTimeout,
      clearTimeout: (order: number) => this.#cancelled.add(order),
    });
    performance.now = () => this.#now;
  }

  restore(): void {
    const { setTimeout, clearTimeout, now } = this.#real;
    Object.assign(globalThis, { setTimeout, clearTimeout });
    performance.now = now;
  }

  /** Runs every timer up to `until`, in ms, each with the promises that it settles. */
  async runUntil(until: number): Promise<void> {
    while (this.#heap.length > 0 && this.#heap[0]!.at <= until) {
      const timer = this.#pop();
      if (!this.#cancelled.delete(timer.order)) {
        this.#now = timer.at;
        timer.run();
        await new Promise<void>((resolve) => setImmediate(resolve));
      }
    }
    this.#now = until;
  }

  #push(timer: Timer): void {
    const heap = this.#heap;
    let index = heap.push(timer) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(timer, heap[parent]!)) {
        break;
      }
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = timer;
  }

  #pop(): Timer {
    const heap = this.#heap;
    const first = heap[0]!;
    const last = heap.pop()!;
    let index = 0;
    while (heap.length > 0) {
      const child = smallerChild(heap, index);
      if (child === undefined || !isBefore(heap[child]!, last)) {
        heap[index] = last;
        break;
      }
      heap[index] = heap[child]!;
      index = child;
    }
    return first;
  }
}

function isBefore(a: Timer, b: Timer): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}

function smallerChild(
  heap: readonly Timer[],
  index: number,
): number | undefined {
  const left = 2 * index + 1;
  const right = left + 1;
  if (left >= heap.length) {
    return undefined;
  }
  return right < heap.length && isBefore(heap[right]!, heap[left]!)
    ? right
    : left;
}
