/**
 * What is in force: the preset and the drains, under one revision.
 *
 * @module
 */

import type { Preset } from "./preset.ts";

/** What a drain takes out of service. */
export type DrainSubject =
  | { readonly kind: "target"; readonly id: string }
  | { readonly kind: "vm"; readonly id: string }
  | { readonly kind: "zone"; readonly id: string };

/** The configuration that every VM runs. Only ever replaced by a higher revision. */
export interface Configuration {
  /** Grows by one with each accepted change. */
  readonly revision: number;
  readonly preset: Preset;
  /** Version of the preset; each edit makes a new one. */
  readonly presetVersion: number;
  readonly drains: readonly DrainSubject[];
}
