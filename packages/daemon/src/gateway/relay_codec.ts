/**
 * Responses of relays as JSON.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import * as z from "zod";
import { messageOf } from "../errors.ts";
import { JsonCallError } from "../json_exchange.ts";
import { packRows, unpackRows } from "./packed_rows.ts";
import type { StoredRow } from "./ports.ts";
import type { ReadingArrival, RelayResponse } from "./relay.ts";
import { MIN_LARGE_BYTES } from "./row_copy.ts";
import { patchSchema, type ValuePatch } from "./value_patch.ts";

/** The times that they stand for only rise, so that one in the future would hold back all later ones. */
const age = z.number().min(0);

const arrivalSchema = z.object({ forMs: age, leftMs: age });

const responseSchema = z.object({
  /** Left out by older versions of the program. */
  era: z.number().default(0),
  isWhole: z.boolean(),
  /** Rows that were packed and encoded in base64; none are in `rows` then. */
  packed: z.string().optional(),
  rows: z.array(z.object({
    key: z.string(),
    /** Base64. */
    value: z.string().optional(),
    patch: patchSchema.optional(),
    version: z.number(),
  })),
  position: z.number(),
  ageMs: age,
  readAgeMs: age,
  heldMs: age,
  regainedMs: age.optional(),
  isSecondHand: z.boolean(),
  /** Left out by older versions of the program. */
  isLost: z.boolean().default(false),
  /** Left out by older versions of the program. */
  isReading: z.boolean().default(false),
  arrival: arrivalSchema.optional(),
  numbering: z.number().optional(),
});

type WireResponse = z.input<typeof responseSchema>;
type EncodedRows = WireResponse["rows"];

/** The JSON of a response; `isPacked`: large rows are packed. */
export function encodeResponse(
  response: RelayResponse,
  isPacked: boolean,
): WireResponse {
  const { regainedMs, rows, patches, ...rest } = response;
  const packed = isPacked && patches === undefined ? packedOf(rows) : undefined;
  return {
    ...rest,
    ...(regainedMs === undefined ? {} : { regainedMs }),
    ...(packed === undefined
      ? { rows: encodeRows(rows, patches) }
      : { rows: [], packed }),
  };
}

/** Packed rows in base64, undefined if they are small: dozens of VMs get the same ones. */
const PACKED_ROWS = new WeakMap<readonly StoredRow[], string | undefined>();

function packedOf(rows: readonly StoredRow[]): string | undefined {
  if (!PACKED_ROWS.has(rows)) {
    const bytes = rows.reduce(
      (sum, { value }) => sum + (value?.length ?? 0),
      0,
    );
    const packed = bytes < MIN_LARGE_BYTES
      ? undefined
      : packRows(rows).toString("base64");
    PACKED_ROWS.set(rows, packed);
  }
  return PACKED_ROWS.get(rows);
}

/** Encoded rows: dozens of VMs get the same ones. */
const ENCODED_ROWS = new WeakMap<readonly StoredRow[], EncodedRows>();

function encodeRows(
  rows: readonly StoredRow[],
  patches: RelayResponse["patches"],
): EncodedRows {
  if (patches !== undefined) {
    return rows.map((row) => encodeRow(row, patches.get(row.key)));
  }
  let encoded = ENCODED_ROWS.get(rows);
  if (encoded === undefined) {
    encoded = rows.map((row) => encodeRow(row, undefined));
    ENCODED_ROWS.set(rows, encoded);
  }
  return encoded;
}

function encodeRow(
  { key, value, version }: StoredRow,
  patch: ValuePatch | undefined,
): EncodedRows[number] {
  if (patch !== undefined) {
    return { key, version, patch };
  }
  return {
    key,
    version,
    ...(value === undefined ? {} : { value: value.toString("base64") }),
  };
}

/** The response in the JSON of {@link encodeResponse}; throws a {@link JsonCallError} if it is none. */
export function decodeResponse(result: unknown): RelayResponse {
  const parsed = responseSchema.safeParse(result);
  if (!parsed.success) {
    throw new JsonCallError(messageOf(parsed.error));
  }
  const { rows, packed, regainedMs, arrival, ...rest } = parsed.data;
  const patches = patchesIn(rows);
  return {
    ...rest,
    ...(arrival === undefined ? {} : { arrival }),
    ...(patches === undefined ? {} : { patches }),
    regainedMs,
    rows: packed === undefined
      ? rows.map(({ key, value, version }) => ({
        key,
        version,
        value: value === undefined ? undefined : Buffer.from(value, "base64"),
      }))
      : unpackRows(Buffer.from(packed, "base64")),
  };
}

function patchesIn(rows: EncodedRows): RelayResponse["patches"] {
  const patches = rows.flatMap(({ key, patch }) =>
    patch === undefined ? [] : [[key, patch] as const]
  );
  return patches.length > 0 ? new Map(patches) : undefined;
}

/** How a response arrives at a relay; undefined if the relay doesn't tell. */
export function decodeArrival(data: unknown): ReadingArrival | undefined {
  return arrivalSchema.safeParse(data).data;
}
