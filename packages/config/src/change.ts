/**
 * Changes that operators make to what is in force, as a pure step from one
 * configuration to the next.
 *
 * @module
 */

import type { PresetId } from "@poplarthread/ids";
import type { Configuration, DrainSubject } from "./configuration.ts";
import type { Preset } from "./preset.ts";

/** One change, as an operator asks for it. */
export type Change =
  /** Writes a new version of a preset; where that preset is in force, so is the new version. */
  | { readonly kind: "edit"; readonly preset: Preset }
  /** Puts another preset in force, at its latest version. */
  | { readonly kind: "switch"; readonly preset: PresetId }
  /** Takes something out of service ahead of planned work. */
  | { readonly kind: "drain"; readonly subject: DrainSubject }
  /** Puts it back. */
  | { readonly kind: "undrain"; readonly subject: DrainSubject };

/** A change in short, as the audit trail keeps it. */
export type ChangeSummary =
  | {
    readonly kind: "edit" | "switch";
    readonly preset: PresetId;
    readonly version: number;
  }
  | { readonly kind: "drain" | "undrain"; readonly subject: DrainSubject };

/** One stored version of a preset. */
export interface PresetVersion {
  /** From 1, one more with each edit. */
  readonly version: number;
  /** Revision whose change wrote it. */
  readonly revision: number;
  readonly preset: Preset;
}

/** What a change starts from: what the operator's VM read in one go. */
export interface ChangeBase {
  /** What is in force; undefined before the very first change. */
  readonly inForce: Configuration | undefined;
  /** Latest stored version of the preset that the change names, if any. */
  readonly latest: PresetVersion | undefined;
}

/** What a change leads to. */
export type ChangeResult =
  | {
    readonly kind: "changed";
    readonly inForce: Configuration;
    /** The preset version that must be stored with it. */
    readonly stored: PresetVersion | undefined;
    readonly summary: ChangeSummary;
  }
  /** The change makes no sense from here; nothing is written. */
  | { readonly kind: "refused"; readonly reason: string };

/** Name of the preset that a change reads or writes, if any. */
export function presetOf(change: Change): PresetId | undefined {
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

/** Takes one step; the result always has the next higher revision. */
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
  // The first preset ever written is in force at once: there must be exactly one.
  const takesForce = inForce === undefined || inForce.preset.id === preset.id;
  const next = takesForce
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
    return { kind: "refused", reason: `there is no preset "${preset}"` };
  }
  if (inForce?.preset.id === preset) {
    return {
      kind: "refused",
      reason: `preset "${preset}" is in force already`,
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
  if (inForce.drains.some((drain) => isSame(drain, subject))) {
    return {
      kind: "refused",
      reason: `${subject.kind} "${subject.id}" is drained already`,
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
  const drains = inForce?.drains.filter((drain) => !isSame(drain, subject));
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

function isSame(a: DrainSubject, b: DrainSubject): boolean {
  return a.kind === b.kind && a.id === b.id;
}
