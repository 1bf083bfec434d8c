/**
 * Paths of the cores' source files, to load mutants of them.
 *
 * @module
 */

import { fileURLToPath } from "node:url";

/** Path of a source file of the coordination package, for example `lease/lease_core.ts`. */
export function corePath(file: string): string {
  const sources = new URL("../../coordination/src/", import.meta.url);
  return fileURLToPath(new URL(file, sources));
}

/** Path of a source file of the decisions package, for example `silence.ts`. */
export function decisionPath(file: string): string {
  const sources = new URL("../../decisions/src/", import.meta.url);
  return fileURLToPath(new URL(file, sources));
}

/** Path of a source file of the placement package, for example `homes/home_protocol.ts`. */
export function placementPath(file: string): string {
  const sources = new URL("../../placement/src/", import.meta.url);
  return fileURLToPath(new URL(file, sources));
}
