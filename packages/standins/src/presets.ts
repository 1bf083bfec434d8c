/**
 * The presets shipped in `presets/` for each deployment.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { type Preset, presetFormat, readDocument } from "@poplarthread/config";

/** The deployments that have shipped presets. */
export const DEPLOYMENT_NAMES = ["hlasovka", "kinolenta"] as const;
/** A deployment that has shipped presets. */
export type DeploymentName = typeof DEPLOYMENT_NAMES[number];

/** The presets of each deployment. */
export const PRESET_NAMES = ["ordinary", "peak", "maintenance"] as const;
/** A preset of each deployment. */
export type PresetName = typeof PRESET_NAMES[number];

/** Returns the path of a shipped preset. */
export function presetPath(
  deployment: DeploymentName,
  name: PresetName,
): string {
  // Sources and build output are equally deep in the repository, so one path serves both.
  const url = new URL(
    `../../../presets/${deployment}/${name}.json`,
    import.meta.url,
  );
  return fileURLToPath(url);
}

/** Reads a shipped preset; throws a `FindingsError` if it is invalid. */
export function readShippedPreset(
  deployment: DeploymentName,
  name: PresetName,
): Preset {
  const text = readFileSync(presetPath(deployment, name), "utf8");
  return readDocument(text, presetFormat);
}
