/**
 * Findings as text: tables for people to read, in Markdown.
 *
 * @module
 */

import { type Bar, type Findings, holds, type Row } from "./pattern.ts";

/** One table of bars, with pass or MISS as measured. */
export function barTable(bars: readonly Bar[]): string {
  const lines = bars.map((bar) =>
    `| ${bar.name} | ${figure(bar.value)} | ${bar.sense} ${
      figure(bar.bound)
    } | ${holds(bar) ? "pass" : "MISS"} | ${
      bar.central === undefined ? "" : figure(bar.central)
    } |`
  );
  return [
    "| bar | measured | bound | result | the same of the central queue |",
    "| --- | ---: | --- | --- | ---: |",
    ...lines,
  ].join("\n");
}

/** One table of rows. */
export function rowTable(rows: readonly Row[]): string {
  const lines = rows.map((row) =>
    `| ${row.pattern} | ${row.service} | ${row.load} | ${row.scheme} | ${
      figure(row.p50)
    } | ${
      figure(row.p99)
    } | ${row.offered} | ${row.goodput} | ${row.refused} | ${row.unknown} | ${
      Math.max(0, row.mostOver)
    } |`
  );
  return [
    "| pattern | service | load | scheme | p50 ms | p99 ms | offered | answered in time | refused | unknown | most over slots |",
    "| --- | --- | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |",
    ...lines,
  ].join("\n");
}

/** Findings of all patterns as one. */
export function joined(all: readonly Findings[]): Findings {
  return {
    rows: all.flatMap(({ rows }) => rows),
    bars: all.flatMap(({ bars }) => bars),
    points: all.flatMap(({ points }) => points),
  };
}

function figure(value: number): string {
  if (Number.isNaN(value)) return "none";
  if (!Number.isFinite(value)) return "never";
  if (Number.isInteger(value)) return `${value}`;
  return Math.abs(value) >= 10 ? value.toFixed(1) : value.toFixed(3);
}
