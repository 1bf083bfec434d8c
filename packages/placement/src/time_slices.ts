/**
 * Time slices of a rate that many VMs share without communicating.
 *
 * Each VM may send one request in each of its slices, which recur at regular
 * intervals. An unused slice expires: if slices were saved up, those of all VMs
 * could be used at once.
 *
 * @module
 */

/** Maximum length of a slice. */
const MAX_SLICE_MS = 1_000;

/** Parameters of a VM's slices. */
export interface TimeSlices {
  /** Requests per second that the VM may send. */
  readonly perSecond: number;
  /**
   * Offset of the slices within their interval, from 0 up to 1; it differs between
   * VMs.
   */
  readonly phase: number;
}

/**
 * Whether `now` is within a slice that is still unused, where the last request was
 * sent at `sentAt`. Times are in milliseconds.
 */
export function hasUnusedSlice(
  { perSecond, phase }: TimeSlices,
  { now, sentAt }: { readonly now: number; readonly sentAt: number },
): boolean {
  const periodMs = 1_000 / perSecond;
  const sinceSliceMs = (now / periodMs + phase) % 1 * periodMs;
  return sinceSliceMs < MAX_SLICE_MS && now - sentAt > sinceSliceMs;
}
