import type { Plugin } from "esbuild";

/** The workspace's root. */
export const ROOT: string;

/** What is bundled, and where to. */
export interface BundleOptions {
  /** Source file from the root. */
  readonly entry: string;
  readonly outfile: string;
  readonly plugins?: readonly Plugin[];
  /** Kind of module; `esm` if left out. */
  readonly format?: "esm" | "cjs";
}

/** Bundles a program of the workspace from the sources of all packages. */
export function bundleProgram(options: BundleOptions): Promise<void>;

/** A line of a source and what takes its place. */
export interface LineReplacement {
  /** Source file from the root. */
  readonly file: string;
  /** Text that stands there exactly once. */
  readonly text: string;
  readonly becomes: string;
}

/** A plugin of the bundler that takes other lines in place of some. */
export function replaceLines(replacements: readonly LineReplacement[]): Plugin;

/** A source with one line replaced; throws where the line does not stand there once. */
export function replaceLine(
  source: string,
  replacement: LineReplacement,
): string;
