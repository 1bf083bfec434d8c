/**
 * Paths of the scripts that processes run. They are always in the build output,
 * even if this module runs from source.
 *
 * @module
 */

import { fileURLToPath } from "node:url";

/** Returns the path of the daemon's script. */
export function daemonScript(): string {
  return resolvePath("../../../daemon/bin/poplarthreadd.js");
}

/** Returns the path of a stand-in's script, for example `platform/platform_main.js`. */
export function standInScript(name: string): string {
  return resolvePath(`../../dist/${name}`);
}

function resolvePath(path: string): string {
  return fileURLToPath(new URL(path, import.meta.url));
}
