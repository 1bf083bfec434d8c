/**
 * Whether this VM has too little processor time for its work.
 *
 * Such a VM looks well to all others: its heartbeats arrive, and its targets respond. It
 * reads requests long after they arrived, though, when their callers have given up.
 *
 * @module
 */

/** Ticks are late by this much on a VM that has enough time. */
const USUAL_DELAY_MS = 20;
/** New connections wait so long on a VM that has enough time, when many come at once. */
const USUAL_ACCEPT_WAIT_MS = 100;
/** How long a delay counts: half as much after each such time. */
const HALF_LIFE_MS = 700;
/** The most that one delay counts, so that a VM that was suspended once is not short for long. */
const MAX_DELAY_MS = 500;
const MAX_ELAPSED_MS = 700;
/** Share of the time for which ticks are late that makes a VM short, and below which it no longer is. */
const SHORT_SHARE = 0.5;
const AMPLE_SHARE = 0.15;
/** How long a VM stays short at least: its callers need some seconds to leave it. */
const MIN_SHORT_MS = 3_000;

/** Derives a shortage from the delays of a timer's ticks and of new connections. Times are milliseconds of the monotonic clock. */
export class ProcessorShortage {
  readonly #onChange: (isShort: boolean) => void;
  #lateShare = 0;
  #recordedAt: number;
  #shortSince: number | undefined;

  /** `onChange` is called when a shortage begins or ends. */
  constructor(now: number, onChange: (isShort: boolean) => void) {
    this.#recordedAt = now;
    this.#onChange = onChange;
  }

  get isShort(): boolean {
    return this.#shortSince !== undefined;
  }

  /** Whether ticks should come often, to tell how long this VM gets no time. */
  get isWatched(): boolean {
    return this.isShort || this.#lateShare > AMPLE_SHARE;
  }

  /** Records a tick that came `lateMs` after its due time, while connections waited to be accepted for `acceptWaitMs` at most. */
  recordTick(
    now: number,
    { lateMs, acceptWaitMs }: { lateMs: number; acceptWaitMs: number },
  ): void {
    const elapsedMs = Math.min(now - this.#recordedAt, MAX_ELAPSED_MS);
    this.#recordedAt = now;
    if (elapsedMs <= 0) {
      return;
    }
    const delayMs = Math.min(Math.max(lateMs, acceptWaitMs), MAX_DELAY_MS);
    const share = lateMs > USUAL_DELAY_MS || acceptWaitMs > USUAL_ACCEPT_WAIT_MS
      ? Math.min(1, delayMs / elapsedMs)
      : 0;
    const weight = 1 - 2 ** (-elapsedMs / HALF_LIFE_MS);
    this.#lateShare += weight * (share - this.#lateShare);
    this.#update(now);
  }

  #update(now: number): void {
    if (this.#shortSince === undefined) {
      if (this.#lateShare > SHORT_SHARE) {
        this.#shortSince = now;
        this.#onChange(true);
      }
    } else if (
      this.#lateShare < AMPLE_SHARE && now - this.#shortSince >= MIN_SHORT_MS
    ) {
      this.#shortSince = undefined;
      this.#onChange(false);
    }
  }
}
