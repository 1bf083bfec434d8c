/**
 * Turns of a VM in a rate that many VMs share without hearing each other.
 *
 * Each VM sends one request in each of its turns, which come at even times. A turn
 * that is not used is lost: kept, those of all VMs could be used at once.
 *
 * @module
 */

/** Length of a turn at the most, in milliseconds. */
const TURN_MS = 1_000;

/** What a VM's turns follow from. */
export interface Turns {
  /** Requests a second that it may send. */
  readonly perSecond: number;
  /** Where its turns lie in the time from one to the next, 0 up to 1: another place for each VM. */
  readonly phase: number;
}

/** Whether it has a turn at `now` that it has not used: it sent its last request at `sentAt`, in milliseconds. */
export function hasTurn(
  { perSecond, phase }: Turns,
  { now, sentAt }: { readonly now: number; readonly sentAt: number },
): boolean {
  const everyMs = 1_000 / perSecond;
  const sinceTurnMs = (now / everyMs + phase) % 1 * everyMs;
  return sinceTurnMs < TURN_MS && now - sentAt > sinceTurnMs;
}
