/**
 * Files of the scripts that processes run. They come from the build, also
 * where this module runs from its source.
 *
 * @module
 */

import { fileURLToPath } from "node:url";

/** The daemon. */
export function daemonScript(): string {
  return fileOf("../../../daemon/bin/poplarthreadd.js");
}

/** A stand-in, for example `platform/platform_main.js`. */
export function standInScript(name: string): string {
  return fileOf(`../../dist/${name}`);
}

function fileOf(path: string): string {
  return fileURLToPath(new URL(path, import.meta.url));
}
