/**
 * Formats findings as Markdown tables.
 *
 * @module
 */

import { type Check, type Findings, passes, type Row } from "./pattern.ts";

/** Table of checks, each with `pass` or `MISS`. */
export function checkTable(checks: readonly Check[]): string {
  const lines = checks.map((check) =>
    `| ${check.name} | ${formatNumber(check.value)} | ${check.comparison} ${
      formatNumber(check.bound)
    } | ${passes(check) ? "pass" : "MISS"} | ${
      check.centralValue === undefined ? "" : formatNumber(check.centralValue)
    } |`
  );
  return [
    "| bar | measured | bound | result | the same of the central queue |",
    "| --- | ---: | --- | --- | ---: |",
    ...lines,
  ].join("\n");
}

/** Table of rows. */
export function rowTable(rows: readonly Row[]): string {
  const lines = rows.map((row) =>
    `| ${row.pattern} | ${row.service} | ${row.load} | ${row.scheme} | ${
      formatNumber(row.p50)
    } | ${
      formatNumber(row.p99)
    } | ${row.offered} | ${row.goodput} | ${row.refused} | ${row.unknown} | ${
      Math.max(0, row.maxOverSlots)
    } |`
  );
  return [
    "| pattern | service | load | scheme | p50 ms | p99 ms | offered | answered in time | refused | unknown | most over slots |",
    "| --- | --- | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |",
    ...lines,
  ].join("\n");
}

/** Merges the findings of several patterns. */
export function mergeFindings(all: readonly Findings[]): Findings {
  return {
    rows: all.flatMap(({ rows }) => rows),
    checks: all.flatMap(({ checks }) => checks),
    points: all.flatMap(({ points }) => points),
  };
}

function formatNumber(value: number): string {
  if (Number.isNaN(value)) return "none";
  if (!Number.isFinite(value)) return "never";
  if (Number.isInteger(value)) return `${value}`;
  return Math.abs(value) >= 10 ? value.toFixed(1) : value.toFixed(3);
}
