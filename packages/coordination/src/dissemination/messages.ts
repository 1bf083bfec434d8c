/**
 * What travels down the push tree. Changes are opaque to this part: text that
 * the document's owner encodes and applies.
 *
 * @module
 */

import type { VmId } from "@poplarthread/ids";
import type { Sender } from "../membership/messages.ts";

/** One step of a document from a revision to a higher one. */
export interface DisseminatedChange {
  /** The revision this applies to; 0 when `body` is the whole document. */
  readonly from: number;
  readonly revision: number;
  /** Digest of the document after the change, checked by its owner. */
  readonly digest: string;
  /** The delta, or the whole document, as its owner encodes it. */
  readonly body: string;
}

/** A message between two VMs about one document. */
export type DisseminationMessage =
  | {
    readonly kind: "push";
    readonly from: Sender;
    readonly change: DisseminatedChange;
  }
  /** A change too large to push unasked; the receiver pulls it if it lacks it. */
  | {
    readonly kind: "offer";
    readonly from: Sender;
    readonly revision: number;
  }
  | {
    readonly kind: "seen";
    readonly from: Sender;
    readonly revision: number;
  }
  /** Asks for everything after `revision`. */
  | {
    readonly kind: "pull";
    readonly from: Sender;
    readonly revision: number;
  }
  | {
    readonly kind: "changes";
    readonly from: Sender;
    readonly changes: readonly DisseminatedChange[];
  }
  /** The pulled revision is too old for deltas: load a snapshot of at least `revision`. */
  | {
    readonly kind: "snapshot";
    readonly from: Sender;
    readonly revision: number;
  };

/** What a dissemination core wants done. */
export type DisseminationEffect =
  | {
    readonly kind: "send";
    readonly to: VmId;
    readonly message: DisseminationMessage;
  }
  /** Apply this change, which follows the revision that this VM has. */
  | { readonly kind: "apply"; readonly change: DisseminatedChange }
  /** Load a snapshot of at least this revision, then call `loaded`. */
  | { readonly kind: "load-snapshot"; readonly revision: number };
