/**
 * Detection of requests that crash each target they reach, to hold them back.
 *
 * @module
 */

export {
  type Fingerprint,
  HeldBack,
  type HeldBackMessage,
  type HeldBackVerdict,
} from "./held_back.ts";
