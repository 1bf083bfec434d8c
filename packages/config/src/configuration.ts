/**
 * The configuration in force: a preset and the drains, under one revision.
 *
 * @module
 */

import type { Preset } from "./preset.ts";

/** Subject of a drain: what it takes out of service. */
export type DrainSubject =
  | { readonly kind: "target"; readonly id: string }
  | { readonly kind: "vm"; readonly id: string }
  | { readonly kind: "zone"; readonly id: string };

/** The configuration that all VMs run; only a higher revision replaces it. */
export interface Configuration {
  /** Increases by one with each accepted change. */
  readonly revision: number;
  readonly preset: Preset;
  /** Version of the preset; each edit creates a new one. */
  readonly presetVersion: number;
  readonly drains: readonly DrainSubject[];
}
