/**
 * Bundles programs of the workspace from their sources.
 *
 * @module
 */

import { readFile } from "node:fs/promises";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { build } from "esbuild";

/** The workspace's root. */
export const ROOT = fileURLToPath(new URL("../../", import.meta.url));

/** CommonJS libraries load Node's modules with `require`. */
const REQUIRE =
  "import { createRequire as bundleRequire } from 'node:module';" +
  "const require = bundleRequire(import.meta.url);";

/** Bundles the file `entry`, relative to the root, into `outfile`. */
export async function bundleProgram(
  { entry, outfile, plugins = [], format = "esm" },
) {
  await build({
    entryPoints: [join(ROOT, entry)],
    outfile,
    plugins,
    bundle: true,
    platform: "node",
    format,
    target: "node20",
    conditions: ["source"],
    // The `main` entry of the JSON parser loads its parts in a way that bundlers cannot resolve.
    mainFields: ["module", "main"],
    legalComments: "none",
    banner: format === "esm" ? { js: REQUIRE } : {},
  });
}

/** An esbuild plugin that replaces lines of source files. */
export function replaceLines(replacements) {
  return {
    name: "replace-lines",
    setup(bundler) {
      bundler.onLoad({ filter: /\.ts$/ }, async ({ path }) => {
        const matching = replacements.filter(({ file }) =>
          path === join(ROOT, file)
        );
        if (matching.length === 0) {
          return undefined;
        }
        const source = await readFile(path, "utf8");
        return { contents: matching.reduce(replaceLine, source), loader: "ts" };
      });
    },
  };
}

/** Replaces `text` in a source; throws unless it occurs exactly once. */
export function replaceLine(source, { file, text, becomes }) {
  if (source.split(text).length !== 2) {
    throw new Error(`${file}: expected exactly one occurrence of: ${text}`);
  }
  return source.replace(text, becomes);
}
