/**
 * Text formats that several commands share.
 *
 * @module
 */

import type { ChangeSummary } from "@poplarthread/config";

/** Formats a change as short text, for example `switch to peak v2`. */
export function formatChange(change: ChangeSummary): string {
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
