/**
 * Words for things that several commands show.
 *
 * @module
 */

import type { ChangeSummary } from "@poplarthread/config";

/** A change in a few words, for example `switch to peak v2`. */
export function describeChange(change: ChangeSummary): string {
  switch (change.kind) {
    case "edit":
      return `edit ${change.preset} v${change.version}`;
    case "switch":
      return `switch to ${change.preset} v${change.version}`;
    case "drain":
    case "undrain":
      return `${change.kind} ${change.subject.kind} ${change.subject.id}`;
  }
}
