/**
 * The hash for ranking members and comparing views. It gives the same result on
 * every VM.
 *
 * @module
 */

/** FNV-1a with a final mix, unsigned 32 bits. Not collision-resistant against chosen input. */
export function hash32(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
