/**
 * The messages of the push tree. Changes are opaque here: text that the
 * document's owner encodes and applies.
 *
 * @module
 */

import type { VmId } from "@poplarthread/ids";
import type { Sender } from "../membership/messages.ts";

/** The change of a document from one revision to a higher one. */
export interface DisseminatedChange {
  /** The revision this applies to; 0 if `body` is the full document. */
  readonly from: number;
  readonly revision: number;
  /** Digest of the document after the change, verified by its owner. */
  readonly digest: string;
  /** The delta, or the full document, as encoded by its owner. */
  readonly body: string;
}

/** A message between two VMs about one document. */
export type DisseminationMessage =
  | {
    readonly kind: "push";
    readonly from: Sender;
    readonly change: DisseminatedChange;
  }
  /** Announces a change that is too large to push; the receiver pulls it if needed. */
  | {
    readonly kind: "offer";
    readonly from: Sender;
    readonly revision: number;
  }
  /** Acknowledges a push, an offer or changes with the sender's current revision. */
  | {
    readonly kind: "seen";
    readonly from: Sender;
    readonly revision: number;
  }
  /** Requests all changes after `revision`. */
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
  /** The receiver's revision is too old for deltas; it has to load a snapshot of at least `revision`. */
  | {
    readonly kind: "snapshot";
    readonly from: Sender;
    readonly revision: number;
  };

/** Output of a dissemination core: a message to send, or an action. */
export type DisseminationEffect =
  | {
    readonly kind: "send";
    readonly to: VmId;
    readonly message: DisseminationMessage;
  }
  /** Apply this change, which follows this VM's revision. */
  | { readonly kind: "apply"; readonly change: DisseminatedChange }
  /** Load a snapshot of at least this revision, then call `loaded`. */
  | { readonly kind: "load-snapshot"; readonly revision: number };
