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

/** Libraries in the older module format ask for Node's modules by `require`. */
const REQUIRE =
  "import { createRequire as bundleRequire } from 'node:module';" +
  "const require = bundleRequire(import.meta.url);";

/** Bundles `entry`, a file from the root, into `outfile`. */
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
    // The other entry of the JSON parser loads its parts in a way that no bundler follows.
    mainFields: ["module", "main"],
    legalComments: "none",
    banner: format === "esm" ? { js: REQUIRE } : {},
  });
}

/** A plugin of the bundler that takes other lines in place of some. */
export function replaceLines(replacements) {
  return {
    name: "replace-lines",
    setup(bundler) {
      bundler.onLoad({ filter: /\.ts$/ }, async ({ path }) => {
        const own = replacements.filter(({ file }) =>
          path === join(ROOT, file)
        );
        if (own.length === 0) {
          return undefined;
        }
        const source = await readFile(path, "utf8");
        return { contents: own.reduce(replaceLine, source), loader: "ts" };
      });
    },
  };
}

/** A source with one line replaced; throws where the line does not stand there once. */
export function replaceLine(source, { file, text, becomes }) {
  if (source.split(text).length !== 2) {
    throw new Error(`${file} does not hold once: ${text}`);
  }
  return source.replace(text, becomes);
}
