/**
 * Held-back requests: those that crash each target they reach.
 *
 * @module
 */

export {
  type Fingerprint,
  HeldBack,
  type HeldBackMessage,
  type HeldBackVerdict,
} from "./held_back.ts";
