/**
 * Reads a JSON document against a schema and collects every finding.
 *
 * @module
 */

import { type ParseError, parseTree, printParseErrorCode } from "jsonc-parser";
import type { ZodError, ZodType } from "zod";
import {
  type Finding,
  FindingsError,
  Locator,
  type PathStep,
} from "./finding.ts";

/** A finding of a check beyond the schema, before it has a place. */
export interface Complaint {
  readonly path: readonly PathStep[];
  readonly message: string;
}

/** A format: its schema and the checks that look across fields. */
export interface Format<T> {
  /** What the document is called in messages, for example "the settings". */
  readonly subject: string;
  readonly schema: ZodType<T>;
  /** Runs only on documents that match the schema. */
  readonly crossCheck: (value: T) => readonly Complaint[];
}

/** Reads `text` as a document of `format`; throws {@link FindingsError} with all findings. */
export function readDocument<T>(text: string, format: Format<T>): T {
  const syntax: ParseError[] = [];
  const root = parseTree(text, syntax, { disallowComments: true });
  const locator = new Locator(text, root);
  if (syntax.length > 0) {
    const findings = syntax.map((err): Finding => ({
      pointer: "",
      ...locator.place(err.offset),
      message: `not JSON: ${printParseErrorCode(err.error)}`,
    }));
    throw new FindingsError(format.subject, findings);
  }
  return readValue(JSON.parse(text), format, locator);
}

/** Reads a parsed value as a document of `format`; findings carry pointers only. */
export function readValue<T>(
  value: unknown,
  format: Format<T>,
  locator: Locator = new Locator("", undefined),
): T {
  const parsed = format.schema.safeParse(value, { reportInput: true });
  if (!parsed.success) {
    const findings = schemaComplaints(parsed.error)
      .map(({ path, message }) => locator.at(path, message))
      .toSorted(inFileOrder);
    throw new FindingsError(format.subject, findings);
  }
  const complaints = format.crossCheck(parsed.data);
  if (complaints.length > 0) {
    const findings = complaints.map(({ path, message }) =>
      locator.at(path, message)
    );
    throw new FindingsError(format.subject, findings);
  }
  return parsed.data;
}

function schemaComplaints(error: ZodError): readonly Complaint[] {
  return error.issues.flatMap((issue): Complaint[] => {
    const path = issue.path.map((step) =>
      typeof step === "symbol" ? String(step) : step
    );
    if (issue.code === "unrecognized_keys") {
      // One finding per unknown field, at the field itself, so that each is found in the file.
      return issue.keys.map((key) => ({
        path: [...path, key],
        message: "unknown field",
      }));
    }
    return [{ path, message: messageOf(issue) }];
  });
}

/** The library's own words, but for the most frequent mistake, which they hide. */
function messageOf(issue: ZodError["issues"][number]): string {
  if (issue.code === "invalid_type" && issue.input === undefined) {
    return `missing; expected ${issue.expected}`;
  }
  return issue.message;
}

/** In the order of the file, as one reads it while mending. */
function inFileOrder(a: Finding, b: Finding): number {
  return (a.line ?? 0) - (b.line ?? 0) || (a.column ?? 0) - (b.column ?? 0);
}
