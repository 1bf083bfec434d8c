import type { Plugin } from "esbuild";

/** Root folder of the workspace. */
export const ROOT: string;

/** The program to bundle, and the file to write it to. */
export interface BundleOptions {
  /** Path of the entry source file, relative to the root. */
  readonly entry: string;
  readonly outfile: string;
  readonly plugins?: readonly Plugin[];
  /** Module format of the bundle; `esm` if left out. */
  readonly format?: "esm" | "cjs";
}

/** Bundles a program of the workspace from the sources of its packages. */
export function bundleProgram(options: BundleOptions): Promise<void>;

/** A line of a source file and its replacement. */
export interface LineReplacement {
  /** Path of the source file, relative to the root. */
  readonly file: string;
  /** The line, or the part of it, to replace; must occur exactly once in the file. */
  readonly text: string;
  /** The replacement of `text`. */
  readonly becomes: string;
}

/** An esbuild plugin that replaces lines of source files. */
export function replaceLines(replacements: readonly LineReplacement[]): Plugin;

/** Returns the source with one line replaced; throws unless the line occurs exactly once. */
export function replaceLine(
  source: string,
  replacement: LineReplacement,
): string;
