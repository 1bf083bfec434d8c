/**
 * The difference between two values of a row: which parts of the earlier one to copy, and
 * what to add.
 *
 * A large configuration differs from the one before in a few routes. Values are cut into
 * pieces at closing braces, so that an object that was added moves the others, but does
 * not change them. Any other bytes work as well, with larger patches.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import * as z from "zod";
import { JsonCallError } from "../json_exchange.ts";
import { MAX_BODY_BYTES } from "../response_body.ts";

/** Longest value: as long as the response of the store that brought it can be. */
const MAX_VALUE_BYTES = MAX_BODY_BYTES;

const PIECE_END = "}".charCodeAt(0);

/** A range of the earlier value, or bytes in base64. */
const partSchema = z.union([
  z.tuple([z.number().int().min(0), z.number().int().min(0)]),
  z.string(),
]);

/** Validates a {@link ValuePatch}. */
export const patchSchema = z.object({
  /** Version of the row whose value it applies to. */
  base: z.number(),
  parts: z.array(partSchema),
  /** Hash of the value that it gives. */
  digest: z.string(),
});

/** See the module comment. Sent as JSON. */
export type ValuePatch = z.infer<typeof patchSchema>;

/** A row's value with its version. */
export interface VersionedValue {
  readonly version: number;
  readonly value: Buffer;
}

interface Range {
  readonly start: number;
  readonly end: number;
}

/** The patch that makes `value` from an earlier one. */
export function diffValues(base: VersionedValue, value: Buffer): ValuePatch {
  const known = new Map<string, number>();
  for (const { start, end } of piecesOf(base.value)) {
    known.set(base.value.toString("latin1", start, end), start);
  }
  const parts: (Range | Buffer)[] = [];
  for (const { start, end } of piecesOf(value)) {
    const from = known.get(value.toString("latin1", start, end));
    addPart(
      parts,
      from === undefined
        ? value.subarray(start, end)
        : { start: from, end: from + end - start },
    );
  }
  return {
    base: base.version,
    parts: parts.map((part) =>
      Buffer.isBuffer(part)
        ? part.toString("base64")
        : [part.start, part.end - part.start]
    ),
    digest: digestOf(value),
  };
}

/** Applies a patch; throws a {@link JsonCallError} if it was made for another value, or gives one that is too large. */
export function patchValue(base: Buffer, patch: ValuePatch): Buffer {
  const parts = patch.parts.map((part) =>
    typeof part === "string"
      ? Buffer.from(part, "base64")
      : base.subarray(part[0], part[0] + part[1])
  );
  const length = parts.reduce((sum, part) => sum + part.length, 0);
  if (length > MAX_VALUE_BYTES) {
    throw new JsonCallError("A patched row is too large");
  }
  const value = Buffer.concat(parts, length);
  if (digestOf(value) !== patch.digest) {
    throw new JsonCallError("A patched row differs from the relay's");
  }
  return value;
}

function* piecesOf(value: Buffer): Iterable<Range> {
  let start = 0;
  while (start < value.length) {
    const at = value.indexOf(PIECE_END, start);
    const end = at < 0 ? value.length : at + 1;
    yield { start, end };
    start = end;
  }
}

/** Adds a part, joined with the last one if it continues that. */
function addPart(parts: (Range | Buffer)[], part: Range | Buffer): void {
  const last = parts.at(-1);
  if (Buffer.isBuffer(part)) {
    parts[Buffer.isBuffer(last) ? parts.length - 1 : parts.length] =
      Buffer.isBuffer(last) ? Buffer.concat([last, part]) : part;
  } else if (
    last !== undefined && !Buffer.isBuffer(last) && last.end === part.start
  ) {
    parts[parts.length - 1] = { start: last.start, end: part.end };
  } else {
    parts.push(part);
  }
}

function digestOf(value: Buffer): string {
  return createHash("sha256").update(value).digest("base64url").slice(0, 16);
}
