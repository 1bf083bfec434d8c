/**
 * The presets that are shipped in `presets/`, by deployment.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { type Preset, presetFormat, readDocument } from "@poplarthread/config";

/** The deployments that presets are shipped for. */
export const DEPLOYMENTS = ["hlasovka", "kinolenta"] as const;
/** A deployment that presets are shipped for. */
export type DeploymentName = typeof DEPLOYMENTS[number];

/** The presets that each deployment has. */
export const PRESETS = ["ordinary", "peak", "maintenance"] as const;
/** A preset that each deployment has. */
export type PresetName = typeof PRESETS[number];

/** The file of a shipped preset. */
export function presetFile(
  deployment: DeploymentName,
  name: PresetName,
): string {
  // Sources and build both stand two directories below the root of the packages.
  const url = new URL(
    `../../../presets/${deployment}/${name}.json`,
    import.meta.url,
  );
  return fileURLToPath(url);
}

/** Reads a shipped preset; throws a `FindingsError` where its check refuses it. */
export function shippedPreset(
  deployment: DeploymentName,
  name: PresetName,
): Preset {
  const text = readFileSync(presetFile(deployment, name), "utf8");
  return readDocument(text, presetFormat);
}
