/**
 * Hash functions with which all VMs rank targets alike without exchanging messages.
 *
 * @module
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** A 32-bit hash of `text`: FNV-1a followed by a finalizer. */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let at = 0; at < text.length; at++) {
    hash = Math.imul(hash ^ text.charCodeAt(at), FNV_PRIME);
  }
  return mix(hash);
}

/** The rendezvous weight of a pair; the pair with the highest weight wins. */
export function pairWeight(left: number, right: number): number {
  return mix(left ^ Math.imul(right, 0x9e3779b1));
}

/** Spreads every input bit over all output bits (the finalizer of MurmurHash3). */
function mix(value: number): number {
  let hash = value;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
