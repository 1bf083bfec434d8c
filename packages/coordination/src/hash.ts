/**
 * A hash for ranking and for comparing views: the same on every VM.
 *
 * @module
 */

/** FNV-1a with a final mix, unsigned 32 bits. No defence against chosen input. */
export function hash32(text: string): number {
  let hash = 0x811c9dc5;
  for (let at = 0; at < text.length; at++) {
    hash = Math.imul(hash ^ text.charCodeAt(at), 0x01000193);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
