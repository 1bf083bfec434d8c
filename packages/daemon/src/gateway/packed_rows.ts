/**
 * Compresses rows for the way to other VMs: a list of the rows as JSON, a line break, and
 * the bytes of their values one after the other.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { constants, gunzipSync, gzipSync } from "node:zlib";
import * as z from "zod";
import { parseJson } from "../bounded_json.ts";
import { JsonCallError } from "../json_exchange.ts";
import type { StoredRow } from "./ports.ts";
import { MAX_ROWS_BYTES } from "./row_bounds.ts";

/** Rows are compressed on small VMs, too: the fastest level leaves a few percent more. */
const LEVEL = constants.Z_BEST_SPEED;

const LINE_BREAK = "\n";

const listSchema = z.array(z.object({
  key: z.string(),
  version: z.number(),
  /** Left out if the row was removed. */
  bytes: z.number().int().min(0).optional(),
}));

/** Packs rows for {@link unpackRows}. */
export function packRows(rows: readonly StoredRow[]): Buffer {
  const list: z.input<typeof listSchema> = rows
    .map(({ key, version, value }) => ({ key, version, bytes: value?.length }));
  const values = rows.flatMap(({ value }) => value === undefined ? [] : value);
  const head = Buffer.from(JSON.stringify(list) + LINE_BREAK);
  return gzipSync(Buffer.concat([head, ...values]), { level: LEVEL });
}

/** Rows that {@link packRows} packed; throws a {@link JsonCallError} if they are damaged. */
export function unpackRows(packed: Buffer): readonly StoredRow[] {
  try {
    return parseRows(
      gunzipSync(packed, { maxOutputLength: MAX_ROWS_BYTES }),
    );
  } catch (err) {
    throw new JsonCallError("The rows cannot be unpacked", { cause: err });
  }
}

function parseRows(unpacked: Buffer): readonly StoredRow[] {
  const end = unpacked.indexOf(LINE_BREAK);
  const list = listSchema.parse(
    parseJson(unpacked.subarray(0, end)),
  );
  let at = end + LINE_BREAK.length;
  const rows = list.map(({ key, version, bytes }) => {
    // A copy: a row that stays in use must not keep all others in memory.
    const value = bytes === undefined
      ? undefined
      : Buffer.from(unpacked.subarray(at, at + bytes));
    at += bytes ?? 0;
    return { key, version, value };
  });
  if (at !== unpacked.length) {
    throw new RangeError("The values do not have the listed sizes");
  }
  return rows;
}
