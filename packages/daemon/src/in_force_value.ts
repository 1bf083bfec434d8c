/**
 * The stored value of the versioned configuration, and the rows that the table
 * stores with it.
 *
 * @module
 */

import type {
  ChangeSummary,
  Configuration,
  DrainSubject,
  Preset,
  PresetVersion,
} from "@poplarthread/config";
import type { InForce, Json, Write } from "@poplarthread/coordination";
import type { PresetId } from "@poplarthread/ids";

/** Content of the row `config/in-force`, without its revision. */
export interface InForceValue {
  readonly preset: Preset;
  readonly presetVersion: number;
  readonly drains: readonly DrainSubject[];
  /** Summary of the change that produced this value, for the audit trail. */
  readonly change: ChangeSummary;
}

/** The same value, typed for the table's interface. */
export type InForceJson = InForceValue & { readonly [name: string]: Json };

/** Prefix of the rows that hold each preset's latest version. */
export const LATEST_PREFIX = "preset-latest/";
const VERSION_PREFIX = "preset-version/";
/** As many digits as in keys of revisions, since there are never more versions than revisions. */
const VERSION_DIGITS = 12;

/** Key of the row that holds the latest version of a preset. */
export function latestKey(preset: PresetId): string {
  return LATEST_PREFIX + preset;
}

/** Prefix of all versions of a preset, in order. */
export function versionsPrefix(preset: PresetId): string {
  return `${VERSION_PREFIX}${preset}/`;
}

/** Key of the row that holds one version of a preset. */
export function versionKey(preset: PresetId, version: number): string {
  return versionsPrefix(preset) + String(version).padStart(VERSION_DIGITS, "0");
}

/** The rows that store a new version of a preset. */
export function presetWrites(stored: PresetVersion): readonly Write[] {
  const value = stored as unknown as Json;
  const { id } = stored.preset;
  return [
    { key: latestKey(id), value },
    { key: versionKey(id, stored.version), value },
  ];
}

/** The value to store to put a configuration in force. */
export function inForceValue(
  configuration: Configuration,
  change: ChangeSummary,
): InForceJson {
  const { preset, presetVersion, drains } = configuration;
  return { preset, presetVersion, drains, change } as unknown as InForceJson;
}

/** Converts the stored value into the configuration that the daemon uses. */
export function configurationOf(inForce: InForce<InForceJson>): Configuration {
  const { preset, presetVersion, drains } = inForce.value;
  return { revision: inForce.revision, preset, presetVersion, drains };
}
