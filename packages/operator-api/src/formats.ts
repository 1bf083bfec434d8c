/**
 * Formats of the request bodies that operators send; malformed bodies are rejected
 * with findings.
 *
 * @module
 */

import * as z from "zod";
import {
  type DocumentFormat,
  type DrainSubject,
  presetSchema,
} from "@poplarthread/config";
import type { OperationId, PresetId } from "@poplarthread/ids";
import type { ChangeRequest, ExplainRequest } from "./types.ts";

const MAX_WHY_LENGTH = 500;

const presetId = z.string().transform((value) => value as PresetId);
const subject: z.ZodType<DrainSubject> = z.strictObject({
  kind: z.enum(["target", "vm", "zone"]),
  id: z.string().min(1).max(63),
});

const change = z.discriminatedUnion("kind", [
  z.strictObject({ kind: z.literal("edit"), preset: presetSchema }),
  z.strictObject({ kind: z.literal("switch"), preset: presetId }),
  z.strictObject({ kind: z.literal("drain"), subject }),
  z.strictObject({ kind: z.literal("undrain"), subject }),
]);

const changeRequest = z.strictObject({
  operation: z.string().min(8).max(64).transform((value) =>
    value as OperationId
  ),
  seenRevision: z.int().min(0),
  why: z.string().min(1, "must state a reason for the audit trail").max(
    MAX_WHY_LENGTH,
  ),
  change,
});

/** Body of `POST /v1/changes`. The preset's checks across fields run separately. */
export const changeRequestFormat: DocumentFormat<ChangeRequest> = {
  subject: "the change",
  schema: changeRequest,
  crossCheck: () => [],
};

const explainRequest = z.strictObject({
  method: z.string().min(1).max(10),
  path: z.string().startsWith("/").max(2_048),
  caller: z.string().max(200).default(""),
});

/** Body of `POST /v1/explain`. */
export const explainRequestFormat: DocumentFormat<ExplainRequest> = {
  subject: "the request to explain",
  schema: explainRequest,
  crossCheck: () => [],
};
