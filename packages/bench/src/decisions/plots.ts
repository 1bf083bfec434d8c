/**
 * Renders the plots of a report as SVG with Vega.
 *
 * @module
 */

import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import type * as vega from "vega";
import { toSvg } from "../svg.ts";
import type { Point } from "./pattern.ts";

/** Larger values are clipped to this, as they would flatten all others. */
const MAX_PLOTTED_MS = 1_500;

/** Writes one SVG file per plot and returns the file names. */
export async function writePlots(
  points: readonly Point[],
  opts: { dir: string; prefix: string },
): Promise<string[]> {
  await mkdir(opts.dir, { recursive: true });
  const files: string[] = [];
  for (const plot of new Set(points.map(({ plot }) => plot))) {
    const plotPoints = points.filter((point) => point.plot === plot);
    const name = `${opts.prefix}-${fileName(plot)}.svg`;
    await writeFile(
      join(opts.dir, name),
      await toSvg(chartSpecOf(plot, plotPoints)),
    );
    files.push(name);
  }
  return files;
}

function fileName(plot: string): string {
  return plot.toLowerCase().replace(/\(.*/, "").replace(/[^a-z0-9]+/g, "-")
    .replace(/-$/, "");
}

function chartSpecOf(plot: string, points: readonly Point[]): vega.Spec {
  const isLoad = plot.startsWith("p99 by load");
  return {
    $schema: "https://vega.github.io/schema/vega/v5.json",
    width: 560,
    height: 300,
    padding: 8,
    background: "white",
    title: { text: plot },
    data: [{
      name: "points",
      values: points.map(({ series, x, y }) => ({
        series,
        x,
        y: Math.min(MAX_PLOTTED_MS, y),
      })),
    }],
    scales: [
      {
        name: "x",
        type: "linear",
        range: "width",
        domain: { data: "points", field: "x" },
        zero: false,
      },
      {
        name: "y",
        type: "linear",
        range: "height",
        domain: { data: "points", field: "y" },
        zero: true,
        nice: true,
      },
      {
        name: "color",
        type: "ordinal",
        range: "category",
        domain: { data: "points", field: "series" },
      },
    ],
    axes: [
      {
        orient: "bottom",
        scale: "x",
        title: isLoad ? "load, share of all slots" : "seconds",
      },
      {
        orient: "left",
        scale: "y",
        title: `p99 in ms, cut at ${MAX_PLOTTED_MS}`,
        grid: true,
      },
    ],
    legends: [{ stroke: "color", orient: "right" }],
    marks: [{
      type: "group",
      from: { facet: { name: "series", data: "points", groupby: "series" } },
      marks: [{
        type: "line",
        from: { data: "series" },
        encode: {
          enter: {
            x: { scale: "x", field: "x" },
            y: { scale: "y", field: "y" },
            stroke: { scale: "color", field: "series" },
            strokeWidth: { value: 2 },
          },
        },
      }],
    }],
  };
}
