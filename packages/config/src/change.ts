/**
 * Operators' changes to the configuration in force, as a pure function from one
 * configuration to the next.
 *
 * @module
 */

import type { PresetId } from "@poplarthread/ids";
import type { Configuration, DrainSubject } from "./configuration.ts";
import type { Preset } from "./preset.ts";

/** A change that an operator requests. */
export type Change =
  /** Stores a new version of a preset; if the preset is in force, the new version takes effect. */
  | { readonly kind: "edit"; readonly preset: Preset }
  /** Puts the latest version of another preset in force. */
  | { readonly kind: "switch"; readonly preset: PresetId }
  /** Takes a target, VM or zone out of service for planned maintenance. */
  | { readonly kind: "drain"; readonly subject: DrainSubject }
  /** Returns it to service. */
  | { readonly kind: "undrain"; readonly subject: DrainSubject };

/** Summary of a change for the audit trail. */
export type ChangeSummary =
  | {
    readonly kind: "edit" | "switch";
    readonly preset: PresetId;
    readonly version: number;
  }
  | { readonly kind: "drain" | "undrain"; readonly subject: DrainSubject };

/** A stored version of a preset. */
export interface PresetVersion {
  /** Starts at 1 and increases by one with each edit. */
  readonly version: number;
  /** Revision of the change that stored this version. */
  readonly revision: number;
  readonly preset: Preset;
}

/** State that a change is applied to; the operator's VM reads it in one transaction. */
export interface ChangeBase {
  /** The configuration in force; undefined before the first change. */
  readonly inForce: Configuration | undefined;
  /** Latest stored version of the preset that the change refers to, if any. */
  readonly latest: PresetVersion | undefined;
}

/** Outcome of applying a change. */
export type ChangeResult =
  | {
    readonly kind: "changed";
    readonly inForce: Configuration;
    /** The preset version to store with the configuration, if the change adds one. */
    readonly stored: PresetVersion | undefined;
    readonly summary: ChangeSummary;
  }
  /** The change does not apply to this state; nothing is written. */
  | { readonly kind: "refused"; readonly reason: string };

/** Id of the preset that a change reads or writes, if any. */
export function presetIdOf(change: Change): PresetId | undefined {
  switch (change.kind) {
    case "edit":
      return change.preset.id;
    case "switch":
      return change.preset;
    case "drain":
    case "undrain":
      return undefined;
  }
}

/** Applies one change; the resulting configuration always has the next revision. */
export function applyChange(base: ChangeBase, change: Change): ChangeResult {
  switch (change.kind) {
    case "edit":
      return applyEdit(base, change.preset);
    case "switch":
      return applySwitch(base, change.preset);
    case "drain":
      return applyDrain(base, change.subject);
    case "undrain":
      return applyUndrain(base, change.subject);
  }
}

function applyEdit(
  { inForce, latest }: ChangeBase,
  preset: Preset,
): ChangeResult {
  const version = (latest?.version ?? 0) + 1;
  const revision = (inForce?.revision ?? 0) + 1;
  // The first preset takes effect immediately: exactly one must be in force.
  const takesEffect = inForce === undefined || inForce.preset.id === preset.id;
  const next = takesEffect
    ? {
      revision,
      preset,
      presetVersion: version,
      drains: inForce?.drains ?? [],
    }
    : { ...inForce, revision };
  return {
    kind: "changed",
    inForce: next,
    stored: { version, revision, preset },
    summary: { kind: "edit", preset: preset.id, version },
  };
}

function applySwitch(
  { inForce, latest }: ChangeBase,
  preset: PresetId,
): ChangeResult {
  if (latest === undefined) {
    return { kind: "refused", reason: `preset "${preset}" does not exist` };
  }
  if (inForce?.preset.id === preset) {
    return {
      kind: "refused",
      reason: `preset "${preset}" is already in force`,
    };
  }
  return {
    kind: "changed",
    inForce: {
      revision: (inForce?.revision ?? 0) + 1,
      preset: latest.preset,
      presetVersion: latest.version,
      drains: inForce?.drains ?? [],
    },
    stored: undefined,
    summary: { kind: "switch", preset, version: latest.version },
  };
}

function applyDrain(
  { inForce }: ChangeBase,
  subject: DrainSubject,
): ChangeResult {
  if (inForce === undefined) {
    return { kind: "refused", reason: "no preset is in force" };
  }
  if (inForce.drains.some((drain) => isSameSubject(drain, subject))) {
    return {
      kind: "refused",
      reason: `${subject.kind} "${subject.id}" is already drained`,
    };
  }
  const drains = [...inForce.drains, subject];
  return {
    kind: "changed",
    inForce: { ...inForce, revision: inForce.revision + 1, drains },
    stored: undefined,
    summary: { kind: "drain", subject },
  };
}

function applyUndrain(
  { inForce }: ChangeBase,
  subject: DrainSubject,
): ChangeResult {
  const drains = inForce?.drains.filter((drain) =>
    !isSameSubject(drain, subject)
  );
  if (inForce === undefined || drains?.length === inForce.drains.length) {
    return {
      kind: "refused",
      reason: `${subject.kind} "${subject.id}" is not drained`,
    };
  }
  return {
    kind: "changed",
    inForce: {
      ...inForce,
      revision: inForce.revision + 1,
      drains: drains ?? [],
    },
    stored: undefined,
    summary: { kind: "undrain", subject },
  };
}

function isSameSubject(a: DrainSubject, b: DrainSubject): boolean {
  return a.kind === b.kind && a.id === b.id;
}
